package serverconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// earlyUploadBytes is more than the buffers of a connection hold, so that the upload is still being written when the
	// response ends.
	earlyUploadBytes = 8 << 20
	// earlyAttempts is how often each case is played: which goroutine sees the reset is a matter of chance.
	earlyAttempts = 20
)

// sendUpload sends a long request, whose server responds before it has read the body.
func sendUpload(t *testing.T, pool *Pool, streamed bool) (*Response, error) {
	t.Helper()
	request := &Request{ID: "a", Method: http.MethodPut, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}, "Early": {"1"}}}
	body := make([]byte, earlyUploadBytes)
	if streamed {
		request.Rest, request.Length = bytes.NewReader(body), earlyUploadBytes
	} else {
		request.Body = body
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return pool.Do(ctx, request)
}

// respondUnread sends text without reading the upload, and calls end after a moment in which the text arrives.
func respondUnread(text string, end func(*net.TCPConn)) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		// A part of the head is enough to know that the request has begun.
		if _, err := io.ReadFull(conn, make([]byte, 16)); err != nil {
			return
		}
		fmt.Fprint(conn, text)
		time.Sleep(5 * time.Millisecond)
		end(conn)
	}
}

// startUnreadServer starts a server that runs serve for each connection.
func startUnreadServer(t *testing.T, serve func(*net.TCPConn)) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	settings := Settings{MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20}
	pool := NewPool(listener.Addr().String(), &net.Dialer{}, testHeaders{}, settings)
	t.Cleanup(pool.Close)
	return pool
}

// endOutput ends the output of a connection, and then reads what still arrives.
func endOutput(conn *net.TCPConn) {
	conn.CloseWrite()
	io.Copy(io.Discard, conn)
	conn.Close()
}

// endOutputThenReset ends the output of a connection in an ordinary way, and resets the connection a moment later.
func endOutputThenReset(conn *net.TCPConn) {
	conn.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	resetConn(conn)
}

// Guards against a response that ends with its connection and is taken for complete although the connection was reset: the
// goroutine that writes the request may have seen the reset, and the one that reads the response then sees an ordinary end.
// A response with an ordinary end is complete, also if a reset follows because the server does not read the request.
func TestEarlyResponseEndsWithConnection(t *testing.T) {
	const noLength, withLength = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name, text string
		end        func(*net.TCPConn)
		err        error
	}{
		{"reset", noLength, resetConn, ErrIncompleteResponse},
		{"closed with unread bytes", noLength, closeConn, ErrIncompleteResponse},
		{"reset after its length", withLength, resetConn, nil},
		{"ordinary end", noLength, endOutput, nil},
		{"ordinary end, then a reset", noLength, endOutputThenReset, nil},
	}
	for _, c := range cases {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, streamed %t", c.name, streamed), func(t *testing.T) {
				t.Parallel()
				pool := startUnreadServer(t, respondUnread(c.text, c.end))
				wrong := 0
				for range earlyAttempts {
					response, err := sendUpload(t, pool, streamed)
					if !errors.Is(err, c.err) || err == nil && string(response.Body) != "ok" {
						wrong++
						t.Logf("response %+v, error %v, want %v", response, err, c.err)
					}
				}
				if wrong > 0 {
					t.Errorf("%d of %d attempts ended otherwise", wrong, earlyAttempts)
				}
			})
		}
	}
}
