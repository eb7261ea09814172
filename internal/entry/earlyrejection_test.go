package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// rejector is a backend server that rejects the first request before it has read the whole body, and then reads on. It accepts the
// second one, which must come over another connection.
type rejector struct {
	backend
	status int
	// readFirst is the number of bytes of the body that it reads before it rejects the request.
	readFirst int64
	// readOn is closed to let it read on.
	readOn chan struct{}
	// heldPart is closed once it has read as much of the body as the gateway holds, or the body has ended.
	heldPart chan struct{}
	// body receives what was read of the body, once that has ended.
	body chan []byte
	// again is closed when the second request arrives, and accepted receives its body, if it is complete.
	again    chan struct{}
	accepted chan []byte
}

// newRejector starts a server whose connections have small buffers, so that a sender waits for it to read on.
func newRejector(t *testing.T, status int, readFirst int64) *rejector {
	t.Helper()
	config := net.ListenConfig{Control: smallBuffers}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &rejector{
		backend: backend{addr: listener.Addr().String()}, status: status, readFirst: readFirst,
		readOn: make(chan struct{}), heldPart: make(chan struct{}), body: make(chan []byte, 1),
		again: make(chan struct{}), accepted: make(chan []byte, 1),
	}
	go func() {
		for _, serve := range []func(net.Conn, *http.Request){s.reject, s.accept} {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			go serve(conn, request)
		}
		<-t.Context().Done()
	}()
	return s
}

func smallBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10)
		if failed == nil {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1448)
		}
	})
	if err != nil {
		return err
	}
	return failed
}

func (s *rejector) reject(conn net.Conn, request *http.Request) {
	var body bytes.Buffer
	// An error shows in what was read.
	_, _ = io.CopyN(&body, request.Body, s.readFirst)
	fmt.Fprintf(conn, "HTTP/1.1 %d Rejected\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", s.status, request.Header.Get("Id"))
	<-s.readOn
	_, _ = io.CopyN(&body, request.Body, earlyHeldBytes-s.readFirst)
	close(s.heldPart)
	_, _ = io.Copy(&body, request.Body)
	s.body <- body.Bytes()
}

func (s *rejector) accept(conn net.Conn, request *http.Request) {
	close(s.again)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		body = nil
	}
	s.accepted <- body
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
}

// sendPart sends a part of a body.
func (c *client) sendPart(part []byte, chunked bool) {
	if chunked {
		c.sendChunks(part)
		return
	}
	// An error shows in the response.
	_, _ = c.conn.Write(part)
}

// earlyHeldBytes is the length up to which bodies are held in these tests. It is far more than the connections buffer.
const earlyHeldBytes = 512 << 10

// Guards against a rejection that reaches a client only once it sends more of its body.
func TestRejectionWhileClientPauses(t *testing.T) {
	s := newRejector(t, http.StatusServiceUnavailable, 2*heldBodyBytes)
	close(s.readOn)
	f := newFixture(t, &s.backend)
	conn := f.dial(t)
	body := uploadBody()
	conn.beginUpload("/order/x", len(body))
	conn.conn.Write(body[:2*heldBodyBytes])
	if err := conn.conn.SetReadDeadline(time.Now().Add(testTimeout / 2)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		t.Fatal("no response while the client pauses: ", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
	if got := <-s.body; !bytes.Equal(got, body[:2*heldBodyBytes]) {
		t.Errorf("the server got %d bytes, want the %d that were sent", len(got), 2*heldBodyBytes)
	}
}

// Guards against a long body of which two attempts read parts, so that the second server runs the request with a part of its body
// missing, and the first one gets bytes that do not follow each other.
func TestRejectedUploadIsNotDivided(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		for name, chunked := range map[string]bool{"length": false, "chunked": true} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) { rejectedUpload(t, status, chunked) })
		}
	}
}

func rejectedUpload(t *testing.T, status int, chunked bool) {
	s := newRejector(t, status, 0)
	f := newFixture(t, &s.backend)
	f.server.heldBodyBytes = earlyHeldBytes
	conn := f.dial(t)
	body := uploadBody()[:2*earlyHeldBytes]
	begin := earlyHeldBytes + 1
	conn.beginUpload("/order/x", map[bool]int{true: -1, false: len(body)}[chunked])
	conn.sendPart(body[:begin], chunked)
	<-s.again
	close(s.readOn)
	<-s.heldPart
	conn.sendPart(body[begin:], chunked)
	if chunked {
		io.WriteString(conn.conn, "0\r\n\r\n")
	}
	if response, text := conn.receive(); response.StatusCode != http.StatusOK || text != "ok" {
		t.Errorf("status %d, body %q", response.StatusCode, text)
	}
	if got := <-s.accepted; !bytes.Equal(got, body) {
		t.Errorf("the second attempt has %d bytes of body, want the %d that were sent", len(got), len(body))
	}
	if got := <-s.body; !bytes.HasPrefix(body, got) {
		t.Errorf("the first attempt has %d bytes that are not the beginning of the body", len(got))
	}
	f.awaitReleased()
}
