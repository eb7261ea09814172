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

// rejector is a backend server that rejects a request before it has read the whole body, and then reads on.
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
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		s.reject(conn)
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

func (s *rejector) reject(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.arrivals.Add(1)
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
