package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against a refusal that a backend server sends a second time, where the response to the next attempt of the same
// request is due: the client would be told that its request was not executed, and another server might execute it again.
func TestSecondCopyOfRefusal(t *testing.T) {
	b, executions := newCopyingBackend(t)
	f := newFixture(t, b)
	conn := f.dial(t)
	conn.send(http.MethodPost, "/order/x", "a")
	response, body := conn.receive()
	if response.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
	if executions.Load() != 1 {
		t.Errorf("request was executed %d times", executions.Load())
	}
}

// newCopyingBackend starts a backend server that refuses its first request. On the connection of that one, it sends the
// refusal a second time when the next request has arrived. It counts the requests that it executes.
func newCopyingBackend(t *testing.T) (*backend, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var arrivals, executions atomic.Int64
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		refusal := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			// The body is empty; its end is found by the next read at the latest.
			_, _ = io.Copy(io.Discard, request.Body)
			id := request.Header.Get("Id")
			if arrivals.Add(1) == 1 {
				refusal = fmt.Sprintf("HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
				io.WriteString(conn, refusal)
				continue
			}
			io.WriteString(conn, refusal)
			executions.Add(1)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nok", id)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return &backend{addr: listener.Addr().String()}, &executions
}
