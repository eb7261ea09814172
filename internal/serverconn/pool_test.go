package serverconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/exchange"
)

// testHeaders uses short names.
type testHeaders struct{}

func (testHeaders) ParseRequest(http.Header) exchange.RequestMetadata {
	return exchange.RequestMetadata{}
}
func (testHeaders) SetForwarded(http.Header, time.Duration, string) {}
func (testHeaders) ParseResponse(_ int, header http.Header) exchange.ResponseMetadata {
	return exchange.ResponseMetadata{ID: header.Get("Id")}
}

// script is what a backend server does with one connection. It gets the requests that arrive on it.
type script func(conn *net.TCPConn, requests <-chan *http.Request)

// serve starts a backend server that plays one script per connection, in order. The last one is repeated.
func serve(t *testing.T, scripts ...script) (*Pool, *atomic.Int64) {
	t.Helper()
	return serveWith(t, Settings{MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20}, scripts...)
}

// serveWith is serve with other settings of the pool.
func serveWith(t *testing.T, settings Settings, scripts ...script) (*Pool, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	received := &atomic.Int64{}
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go play(conn.(*net.TCPConn), scripts[min(i, len(scripts)-1)], received)
		}
	}()
	pool := NewPool(listener.Addr().String(), &net.Dialer{}, testHeaders{}, settings)
	t.Cleanup(pool.Close)
	return pool, received
}

func play(conn *net.TCPConn, s script, received *atomic.Int64) {
	requests := make(chan *http.Request, 8)
	go func() {
		defer close(requests)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			received.Add(1)
			if request.Header.Get("Early") != "" {
				requests <- request
				io.Copy(io.Discard, request.Body)
				continue
			}
			io.Copy(io.Discard, request.Body)
			requests <- request
		}
	}()
	s(conn, requests)
}

// reply answers each request with a text in which %s stands for its ID.
func reply(text string) script {
	return func(conn *net.TCPConn, requests <-chan *http.Request) {
		for request := range requests {
			fmt.Fprint(conn, strings.ReplaceAll(text, "%s", request.Header.Get("Id")))
		}
	}
}

// replyOnce answers the first request and then ends the connection in some way.
func replyOnce(text string, end func(*net.TCPConn)) script {
	return func(conn *net.TCPConn, requests <-chan *http.Request) {
		request := <-requests
		fmt.Fprint(conn, strings.ReplaceAll(text, "%s", request.Header.Get("Id")))
		end(conn)
	}
}

func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

func finish(conn *net.TCPConn) { conn.Close() }

const goodReply = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"

func send(t *testing.T, pool *Pool, id string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return pool.Do(ctx, &Request{ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, AtMostOnce: true})
}

// Guards against answers that are taken for complete or for those of another request, and against failures that are
// reported as if nothing had been sent.
func TestResponses(t *testing.T) {
	cases := []struct {
		name   string
		script script
		body   string
		err    error
	}{
		{"with a length", reply(goodReply), "ok", nil},
		{"in chunks", reply("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), "ok", nil},
		{"after an interim answer", reply("HTTP/1.1 103 Early Hints\r\n\r\n" + goodReply), "ok", nil},
		{"after a late answer to another request", reply("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + goodReply), "ok", nil},
		{"without a length, ended", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", finish), "ok", nil},
		{"without a length, reset", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", reset), "", ErrIncompleteResponse},
		{"shorter than its length", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nok", finish), "", ErrIncompleteResponse},
		{"chunks that break off", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", finish), "", ErrIncompleteResponse},
		{"no answer", replyOnce("", finish), "", ErrIncompleteResponse},
		{"bytes that are no answer", replyOnce("garbage\r\n\r\n", finish), "", ErrInvalidResponse},
		{"of another request, then the end", replyOnce("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", finish), "", ErrInvalidResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool, received := serve(t, c.script)
			answer, err := send(t, pool, "a")
			if !errors.Is(err, c.err) || c.err == nil && err != nil {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err == nil && string(answer.Body) != c.body {
				t.Fatalf("body %q, want %q", answer.Body, c.body)
			}
			if received.Load() != 1 {
				t.Fatalf("request arrived %d times", received.Load())
			}
		})
	}
}

// Guards against a request that is sent a second time when a kept connection ends under it.
func TestRequestOnKeptConnectionIsNotReplayed(t *testing.T) {
	first := func(conn *net.TCPConn, requests <-chan *http.Request) {
		request := <-requests
		fmt.Fprint(conn, strings.ReplaceAll(goodReply, "%s", request.Header.Get("Id")))
		<-requests
		reset(conn)
	}
	pool, received := serve(t, first, reply(goodReply))
	if _, err := send(t, pool, "a"); err != nil {
		t.Fatal(err)
	}
	if _, err := send(t, pool, "b"); !errors.Is(err, ErrIncompleteResponse) {
		t.Fatalf("error %v, want %v", err, ErrIncompleteResponse)
	}
	if received.Load() != 2 {
		t.Fatalf("%d requests arrived, want 2", received.Load())
	}
}

// Guards against a connection that is used again although the backend server has ended it, or has sent bytes that
// belong to no request; and against one that is not used again after the deadline of its last request.
func TestKeptConnections(t *testing.T) {
	stray := func(conn *net.TCPConn, requests <-chan *http.Request) {
		request := <-requests
		fmt.Fprint(conn, strings.ReplaceAll(goodReply, "%s", request.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nbad")
		<-requests
	}
	cases := []struct {
		name   string
		first  script
		opened int
	}{
		{"kept open", reply(goodReply), 1},
		{"ended", replyOnce(goodReply, finish), 2},
		{"announced to end", reply("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"), 2},
		{"short keep-alive", reply("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok"), 2},
		{"with stray bytes", stray, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool, _ := serve(t, c.first, reply(goodReply))
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
			defer cancel()
			if _, err := pool.Do(ctx, &Request{ID: "a", Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}}); err != nil {
				t.Fatal(err)
			}
			<-ctx.Done()
			time.Sleep(20 * time.Millisecond)
			answer, err := send(t, pool, "b")
			if err != nil || string(answer.Body) != "ok" {
				t.Fatalf("answer %v, error %v", answer, err)
			}
			if pool.Opened() != c.opened {
				t.Fatalf("%d connections opened, want %d", pool.Opened(), c.opened)
			}
		})
	}
}

// Guards against bytes of another request where the rest of a long body is due: the answer may come before the body
// has been read.
func TestEarlyResponseToLargeBody(t *testing.T) {
	early := func(conn *net.TCPConn, requests <-chan *http.Request) {
		for request := range requests {
			fmt.Fprint(conn, strings.ReplaceAll(goodReply, "%s", request.Header.Get("Id")))
		}
	}
	pool, _ := serve(t, early, reply(goodReply))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, &Request{
		ID: "a", Method: "PUT", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}, "Early": {"1"}}, Body: make([]byte, 4<<20),
	})
	if err != nil || answer.Status != http.StatusOK {
		t.Fatalf("answer %v, error %v", answer, err)
	}
	if answer, err := send(t, pool, "b"); err != nil || answer.Status != http.StatusOK {
		t.Fatalf("next answer %v, error %v", answer, err)
	}
}

// Guards against a request that is reported as possibly run although no connection was opened.
func TestNoConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	pool := NewPool(addr, &net.Dialer{}, testHeaders{}, Settings{})
	if _, err := send(t, pool, "a"); !errors.Is(err, ErrNotSent) {
		t.Fatalf("error %v, want %v", err, ErrNotSent)
	}
}

// Guards against a backend server that goes on working for a caller that has left.
func TestCancelEndsConnection(t *testing.T) {
	ended := make(chan struct{})
	pool, received := serve(t, func(_ *net.TCPConn, requests <-chan *http.Request) {
		<-requests
		<-requests
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := pool.Do(ctx, &Request{ID: "a", Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}})
		result <- err
	}()
	for received.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-result; !errors.Is(err, ErrTimeout) {
		t.Fatalf("error %v, want %v", err, ErrTimeout)
	}
	<-ended
}

// Guards against a request that counts as possibly run although the backend server, which has too many connections,
// reset the connection before anything was sent.
func TestResetOfNewConnection(t *testing.T) {
	settings := Settings{MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20, ResetWatchMargin: 5 * time.Second}
	pool, received := serveWith(t, settings, func(conn *net.TCPConn, _ <-chan *http.Request) { reset(conn) })
	if _, err := send(t, pool, "a"); !errors.Is(err, ErrNotSent) {
		t.Fatalf("error %v, want %v", err, ErrNotSent)
	}
	if received.Load() != 0 {
		t.Fatal("the request was sent")
	}
}

// Guards against idle connections that pile up because only the one used last is looked at.
func TestSweep(t *testing.T) {
	settings := Settings{MaxIdle: time.Nanosecond, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20}
	pool, _ := serveWith(t, settings, reply(goodReply))
	if _, err := send(t, pool, "a"); err != nil {
		t.Fatal(err)
	}
	pool.CloseExpired()
	if len(pool.idle) != 0 {
		t.Fatalf("%d connections are kept that were idle for too long", len(pool.idle))
	}
}
