package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slowReceiver connects a client with a small receive buffer, so that most of a response stays with the gateway until the
// client reads.
func (f *fixture) slowReceiver(t *testing.T) *client {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10); err != nil {
				t.Error(err)
			}
		})
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp4", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// Guards against a response that is lost because the client's next requests cross the closing of the connection: closing
// it before they are read resets it, and what the client has not received yet is discarded.
func TestRequestsThatCrossClosing(t *testing.T) {
	body := strings.Repeat("x", 32<<10)
	crossing := strings.Repeat("GET /read/late HTTP/1.1\r\nHost: h\r\nId: late\r\nContent-Length: 0\r\n\r\n", 500)
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, body) })
	f := newFixture(t, b)
	for name, request := range map[string]string{
		"served":                 "GET /read/x HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 0\r\n\r\n",
		"rejected while reading": "GET /read/x HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: 0\r\n\r\nnonsense\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f.server.Drain()
			conn := f.slowReceiver(t)
			if _, err := io.WriteString(conn.conn, request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			// An error means that the gateway has closed the connection already.
			_, _ = io.WriteString(conn.conn, crossing)
			f.server.CloseIdle()
			time.Sleep(100 * time.Millisecond)
			if err := conn.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(conn.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(response.Body)
			if err != nil || len(got) != len(body) {
				t.Errorf("%d of %d bytes of the response arrived: %v", len(got), len(body), err)
			}
		})
	}
	if b.arrivals.Load() > 2 {
		t.Errorf("%d requests reached the server, want 2", b.arrivals.Load())
	}
}

// Guards against a stop that waits for a connection whose client keeps sending after its last response.
func TestClosingConnectionEnds(t *testing.T) {
	f := newFixture(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) { signed(w, 200, "ok") }))
	f.server.Drain()
	conn := f.dial(t)
	conn.send("GET", "/read/x", "a")
	conn.receive()
	started := time.Now()
	for {
		// Parts of a header keep the request from being complete.
		if _, err := io.WriteString(conn.conn, "GET"); err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
		if time.Since(started) > 10*lingerTimeout {
			t.Fatalf("connection is open %v after its last response", time.Since(started))
		}
	}
}

// Guards against a rejection that the client cannot read because the rest of its request is still under way.
func TestRejectionOfLongRequest(t *testing.T) {
	f := newFixture(t, newBackend(t, abort))
	conn := f.dial(t)
	const length = 8 << 20
	fmt.Fprintf(conn.conn, "POST /order/x HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n", length)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		// An error means that the gateway has closed the connection already.
		_, _ = conn.conn.Write(make([]byte, length))
	}()
	time.Sleep(100 * time.Millisecond)
	if response, _ := conn.receive(); response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", response.StatusCode)
	}
	conn.conn.Close()
	<-sent
}
