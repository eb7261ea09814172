package serverconn

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/malformed"
)

// replyAndEnd responds to a request with text and ends the connection in an ordinary way.
func replyAndEnd(text string) script {
	return func(conn *net.TCPConn, requests <-chan *http.Request) {
		<-requests
		fmt.Fprint(conn, text)
		endOutput(conn)
	}
}

// Guards against bytes that are no whole response and are passed on as one, with all or a part of them as its body.
func TestMalformedResponses(t *testing.T) {
	for _, reply := range malformed.Replies("Id: a\r\n", "hello, world") {
		t.Run(reply.Name, func(t *testing.T) {
			t.Parallel()
			pool, received := startServer(t, replyAndEnd(reply.Text))
			started := time.Now()
			response, err := sendRequest(t, pool, "a")
			if err == nil || errors.Is(err, ErrNotSent) || errors.Is(err, ErrTimeout) {
				t.Errorf("response %+v, error %v, want an error by which the request may have run", response, err)
			}
			if took := time.Since(started); took > time.Second {
				t.Errorf("error after %v, want it at once", took)
			}
			if received.Load() != 1 {
				t.Errorf("request arrived %d times", received.Load())
			}
		})
	}
}

// replyByBytes is replyAndEnd with a write for each byte.
func replyByBytes(text string) script {
	return func(conn *net.TCPConn, requests <-chan *http.Request) {
		<-requests
		for i := range len(text) {
			fmt.Fprint(conn, text[i:i+1])
		}
		endOutput(conn)
	}
}

// Guards against whole responses that are rejected because their form is rare, or because they arrive in pieces.
func TestUnusualResponses(t *testing.T) {
	for _, reply := range malformed.Unusual("Id: a\r\n", "hello, world") {
		t.Run(reply.Name, func(t *testing.T) {
			t.Parallel()
			// The server ends each connection after its response, so none is kept.
			pool, _ := startServerWith(t, Settings{MaxResponseBodyBytes: 1 << 20}, replyAndEnd(reply.Text), replyByBytes(reply.Text))
			checkUnusual(t, pool)
			checkUnusual(t, pool)
		})
	}
}

func checkUnusual(t *testing.T, pool *Pool) {
	t.Helper()
	response, err := sendRequest(t, pool, "a")
	if err != nil || response.Status != http.StatusOK || string(response.Body) != "hello, world" {
		t.Errorf("response %+v, error %v", response, err)
	}
}
