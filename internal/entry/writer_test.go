package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// documentBytes is the length of a response that is far longer than the buffers of its connection.
	documentBytes = 1 << 20
	// testStall is how long a client in these tests may take nothing of a response.
	testStall = 600 * time.Millisecond
	// readParts is the number of parts in which a steady reader reads a response, with a pause after each that is far shorter than
	// testStall.
	readParts = 64
	readPause = 80 * time.Millisecond
)

// newDocumentFixture returns a fixture whose server answers with documentBytes, over connections with small buffers.
func newDocumentFixture(t *testing.T) (*fixture, *net.Dialer) {
	t.Helper()
	f := newFixture(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, strings.Repeat("d", documentBytes)) }))
	f.server.writeStall = testStall
	config := net.ListenConfig{Control: smallBuffers}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	f.addr = listener.Addr().String()
	go f.server.Serve(listener)
	return f, &net.Dialer{Control: smallBuffers}
}

// request sends a request for the document over a new connection.
func (f *fixture) request(t *testing.T, dialer *net.Dialer, timeout time.Duration) *client {
	t.Helper()
	conn, err := dialer.Dial("tcp4", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: h\r\nId: a\r\nPatience: %v\r\nContent-Length: 0\r\n\r\n", timeout)
	return &client{t: t, conn: conn, reader: bufio.NewReaderSize(conn, 16)}
}

// readSteadily reads a response with pauses, and returns the length of what arrives of its body.
func (c *client) readSteadily() int64 {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, response.Body, documentBytes/readParts)
		total += n
		if err != nil {
			return total
		}
		time.Sleep(readPause)
	}
}

// Guards against a response that is cut off while its client reads it, because writing it takes long, also when the gateway stops
// meanwhile.
func TestSteadyReaderGetsWholeResponse(t *testing.T) {
	for name, stops := range map[string]bool{"undisturbed": false, "planned stop": true} {
		t.Run(name, func(t *testing.T) {
			f, dialer := newDocumentFixture(t)
			conn := f.request(t, dialer, testTimeout)
			if stops {
				stop := time.AfterFunc(testStall, func() {
					f.server.Drain()
					f.server.CloseIdle()
				})
				defer stop.Stop()
			}
			if got := conn.readSteadily(); got != documentBytes {
				t.Errorf("%d of %d bytes arrived", got, documentBytes)
			}
			f.awaitReleased()
		})
	}
}

// Guards against a client that reads nothing and keeps the memory of its response, and against one that reads slowly and keeps it
// beyond the deadline of its request.
func TestSlowReaderIsCutOff(t *testing.T) {
	t.Run("reads nothing", func(t *testing.T) {
		f, dialer := newDocumentFixture(t)
		f.request(t, dialer, testTimeout)
		f.awaitMemory()
		f.awaitReleased()
	})
	t.Run("reads beyond its deadline", func(t *testing.T) {
		f, dialer := newDocumentFixture(t)
		started := time.Now()
		conn := f.request(t, dialer, testStall)
		if got := conn.readSteadily(); got == documentBytes {
			t.Errorf("the whole response arrived, %v after the request", time.Since(started))
		}
		f.awaitReleased()
	})
}

// awaitMemory waits until memory is reserved for a response.
func (f *fixture) awaitMemory() {
	for f.server.memory.Reserved() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a connection that ends at a request with Expect: 100-continue because the time limit of the response before still
// holds.
func TestContinueAfterPause(t *testing.T) {
	f := newFixture(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, "ok") }))
	f.server.writeStall = testStall
	conn := f.dial(t)
	conn.send("POST", "/order/x", "a")
	conn.receive()
	time.Sleep(2 * testStall)
	fmt.Fprint(conn.conn, "POST /order/x HTTP/1.1\r\nHost: h\r\nId: b\r\nPatience: 60s\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := conn.reader.ReadString('\n')
	if err != nil || !strings.Contains(line, "100") {
		t.Fatalf("line %q, error %v", line, err)
	}
	io.WriteString(conn.conn, "{}")
	if _, err := conn.reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if response, body := conn.receive(); response.StatusCode != 200 || body != "ok" {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
}
