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

// testHeaders implements exchange.Headers with short header names.
type testHeaders struct{}

func (testHeaders) ParseRequest(http.Header) exchange.RequestMetadata {
	return exchange.RequestMetadata{}
}
func (testHeaders) SetForwarded(http.Header, time.Duration, string) {}
func (testHeaders) ParseResponse(_ int, header http.Header) exchange.ResponseMetadata {
	return exchange.ResponseMetadata{ID: header.Get("Id")}
}

// script is the behaviour of a backend server on one connection. It receives the requests that arrive on it.
type script func(conn *net.TCPConn, requests <-chan *http.Request)

// startServer starts a backend server that runs one script per connection, in order. The last script is repeated.
func startServer(t *testing.T, scripts ...script) (*Pool, *atomic.Int64) {
	t.Helper()
	return startServerWith(t, Settings{MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20}, scripts...)
}

// startServerWith is startServer with custom pool settings.
func startServerWith(t *testing.T, settings Settings, scripts ...script) (*Pool, *atomic.Int64) {
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
			go runScript(conn.(*net.TCPConn), scripts[min(i, len(scripts)-1)], received)
		}
	}()
	pool := NewPool(listener.Addr().String(), &net.Dialer{}, testHeaders{}, settings)
	t.Cleanup(pool.Close)
	return pool, received
}

func runScript(conn *net.TCPConn, run script, received *atomic.Int64) {
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
	run(conn, requests)
}

// replyAll responds to each request with text, in which %s is replaced by the request ID.
func replyAll(text string) script {
	return func(conn *net.TCPConn, requests <-chan *http.Request) {
		for request := range requests {
			fmt.Fprint(conn, strings.ReplaceAll(text, "%s", request.Header.Get("Id")))
		}
	}
}

// replyOnce responds to the first request and then calls end to close the connection.
func replyOnce(text string, end func(*net.TCPConn)) script {
	return func(conn *net.TCPConn, requests <-chan *http.Request) {
		request := <-requests
		fmt.Fprint(conn, strings.ReplaceAll(text, "%s", request.Header.Get("Id")))
		end(conn)
	}
}

func resetConn(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

func closeConn(conn *net.TCPConn) { conn.Close() }

const okResponse = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"

func sendRequest(t *testing.T, pool *Pool, id string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return pool.Do(ctx, &Request{ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, AtMostOnce: true})
}

// Guards against truncated responses that are taken for complete, responses that are attributed to another request, and
// failures that are reported as if nothing had been sent.
func TestResponses(t *testing.T) {
	cases := []struct {
		name   string
		script script
		body   string
		err    error
	}{
		{"with Content-Length", replyAll(okResponse), "ok", nil},
		{"chunked body", replyAll("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), "ok", nil},
		{"after an interim response", replyAll("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse), "ok", nil},
		{"after a late response to another request", replyAll("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad" + okResponse), "ok", nil},
		{"without Content-Length, closed", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", closeConn), "ok", nil},
		{"without Content-Length, reset", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\n\r\nok", resetConn), "", ErrIncompleteResponse},
		{"shorter than Content-Length", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nok", closeConn), "", ErrIncompleteResponse},
		{"truncated chunk", replyOnce("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", closeConn), "", ErrIncompleteResponse},
		{"no response", replyOnce("", closeConn), "", ErrIncompleteResponse},
		{"bytes that are not a response", replyOnce("garbage\r\n\r\n", closeConn), "", ErrInvalidResponse},
		{"response to another request, then closed", replyOnce("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", closeConn), "", ErrInvalidResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool, received := startServer(t, c.script)
			response, err := sendRequest(t, pool, "a")
			if !errors.Is(err, c.err) || c.err == nil && err != nil {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err == nil && string(response.Body) != c.body {
				t.Fatalf("body %q, want %q", response.Body, c.body)
			}
			if received.Load() != 1 {
				t.Fatalf("request arrived %d times", received.Load())
			}
		})
	}
}

// Guards against a request that is sent a second time because its reused connection ends before the response.
func TestRequestOnKeptConnectionIsNotReplayed(t *testing.T) {
	first := func(conn *net.TCPConn, requests <-chan *http.Request) {
		request := <-requests
		fmt.Fprint(conn, strings.ReplaceAll(okResponse, "%s", request.Header.Get("Id")))
		<-requests
		resetConn(conn)
	}
	pool, received := startServer(t, first, replyAll(okResponse))
	if _, err := sendRequest(t, pool, "a"); err != nil {
		t.Fatal(err)
	}
	if _, err := sendRequest(t, pool, "b"); !errors.Is(err, ErrIncompleteResponse) {
		t.Fatalf("error %v, want %v", err, ErrIncompleteResponse)
	}
	if received.Load() != 2 {
		t.Fatalf("%d requests arrived, want 2", received.Load())
	}
}

// Guards against reusing a connection that the backend server has closed, or on which it sent unsolicited bytes; and
// against not reusing a connection because the deadline of its previous request has passed.
func TestKeptConnections(t *testing.T) {
	sendsUnsolicitedBytes := func(conn *net.TCPConn, requests <-chan *http.Request) {
		request := <-requests
		fmt.Fprint(conn, strings.ReplaceAll(okResponse, "%s", request.Header.Get("Id")))
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nbad")
		<-requests
	}
	cases := []struct {
		name   string
		first  script
		opened int
	}{
		{"kept open", replyAll(okResponse), 1},
		{"ended", replyOnce(okResponse, closeConn), 2},
		{"announced as closing", replyAll("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"), 2},
		{"short keep-alive", replyAll("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\nKeep-Alive: timeout=1\r\n\r\nok"), 2},
		{"with unsolicited bytes", sendsUnsolicitedBytes, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool, _ := startServer(t, c.first, replyAll(okResponse))
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
			defer cancel()
			if _, err := pool.Do(ctx, &Request{ID: "a", Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}}); err != nil {
				t.Fatal(err)
			}
			<-ctx.Done()
			time.Sleep(20 * time.Millisecond)
			response, err := sendRequest(t, pool, "b")
			if err != nil || string(response.Body) != "ok" {
				t.Fatalf("response %v, error %v", response, err)
			}
			if pool.Opened() != c.opened {
				t.Fatalf("%d connections opened, want %d", pool.Opened(), c.opened)
			}
		})
	}
}

// Guards against writing another request where the backend server expects the rest of a large body: the response may
// arrive before the body has been read.
func TestEarlyResponseToLargeBody(t *testing.T) {
	respondEarly := func(conn *net.TCPConn, requests <-chan *http.Request) {
		for request := range requests {
			fmt.Fprint(conn, strings.ReplaceAll(okResponse, "%s", request.Header.Get("Id")))
		}
	}
	pool, _ := startServer(t, respondEarly, replyAll(okResponse))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, &Request{
		ID: "a", Method: "PUT", URI: "/", Host: "h", Header: http.Header{"Id": {"a"}, "Early": {"1"}}, Body: make([]byte, 4<<20),
	})
	if err != nil || response.Status != http.StatusOK {
		t.Fatalf("response %v, error %v", response, err)
	}
	if response, err := sendRequest(t, pool, "b"); err != nil || response.Status != http.StatusOK {
		t.Fatalf("next response %v, error %v", response, err)
	}
}

// Guards against reporting a request as possibly executed although no connection was opened.
func TestNoConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	pool := NewPool(addr, &net.Dialer{}, testHeaders{}, Settings{})
	if _, err := sendRequest(t, pool, "a"); !errors.Is(err, ErrNotSent) {
		t.Fatalf("error %v, want %v", err, ErrNotSent)
	}
}

// Guards against a backend server that keeps working for a client that has disconnected.
func TestCancelEndsConnection(t *testing.T) {
	ended := make(chan struct{})
	pool, received := startServer(t, func(_ *net.TCPConn, requests <-chan *http.Request) {
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

// Guards against treating a request as possibly executed although the backend server, having reached its connection
// limit, reset the connection before anything was sent.
func TestResetOfNewConnection(t *testing.T) {
	settings := Settings{MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20, ResetCheckMargin: 5 * time.Second}
	pool, received := startServerWith(t, settings, func(conn *net.TCPConn, _ <-chan *http.Request) { resetConn(conn) })
	if _, err := sendRequest(t, pool, "a"); !errors.Is(err, ErrNotSent) {
		t.Fatalf("error %v, want %v", err, ErrNotSent)
	}
	if received.Load() != 0 {
		t.Fatal("the request was sent")
	}
}

// Guards against a build-up of idle connections: acquiring a connection checks only the most recently used one.
func TestCloseExpired(t *testing.T) {
	settings := Settings{MaxIdle: time.Nanosecond, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 20}
	pool, _ := startServerWith(t, settings, replyAll(okResponse))
	if _, err := sendRequest(t, pool, "a"); err != nil {
		t.Fatal(err)
	}
	pool.CloseExpired()
	if len(pool.idle) != 0 {
		t.Fatalf("%d connections are still idle in the pool after their idle limit", len(pool.idle))
	}
}

// Guards against sending a request again over a connection over which it was answered before, and against not reusing
// that connection for other requests.
func TestRequestAvoidsUsedConnection(t *testing.T) {
	pool, _ := startServer(t, replyAll(okResponse))
	send := func(used ...ConnID) ConnID {
		t.Helper()
		request := &Request{ID: "a", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {"a"}}, AtMostOnce: true, Used: used}
		response, err := pool.Do(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		return response.Conn
	}
	first := send()
	second := send(first)
	if third := send(first, second); third == first || second == first || third == second {
		t.Errorf("connections %d, %d, %d were used", first, second, third)
	}
	if send(); pool.Opened() != 3 {
		t.Errorf("%d connections opened, want 3", pool.Opened())
	}
}
