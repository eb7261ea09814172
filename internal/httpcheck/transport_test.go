package httpcheck_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
	"github.com/sapphireplank/sapphireplank/internal/malformed"
)

// slowConn is a connection from which one byte is read at a time.
type slowConn struct{ net.Conn }

func (c slowConn) Read(buffer []byte) (int, error) { return c.Conn.Read(buffer[:min(len(buffer), 1)]) }

// Guards against a check that depends on the pieces in which a response arrives.
func TestTransport(t *testing.T) {
	const body = "hello, world"
	replies := make(map[string]malformed.Reply)
	for _, reply := range malformed.Replies("", body) {
		replies["/malformed "+reply.Name] = reply
	}
	for _, reply := range malformed.Unusual("", body) {
		replies["/unusual "+reply.Name] = reply
	}
	var text atomic.Pointer[string]
	listener, err := malformed.Listen(func(*http.Request) string { return *text.Load() })
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	// The server ends each connection, so none is kept.
	slow := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return slowConn{conn}, err
	}}
	for _, transport := range []*http.Transport{{DisableKeepAlives: true}, slow} {
		client := httpcheck.Client(&http.Client{Transport: transport})
		for name, reply := range replies {
			text.Store(&reply.Text)
			got, err := get(client, "http://"+listener.Addr().String())
			if unusual := name[1] == 'u'; unusual != (err == nil) || unusual && got != body {
				t.Errorf("%s: body %q, error %v", name, got, err)
			}
		}
	}
}

func get(client *http.Client, url string) (string, error) {
	request, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against checks of the first response on a connection only.
func TestTransportChecksEachResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const broken = "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok"
	client := httpcheck.Client(&http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go answerInTurn(far, whole, whole, broken)
		return near, nil
	}}})
	for i := range 3 {
		if body, err := get(client, "http://server"); (err == nil) != (i < 2) {
			t.Errorf("response %d: body %q, error %v", i, body, err)
		}
	}
}

// answerInTurn answers each request on a connection with the next text.
func answerInTurn(conn net.Conn, texts ...string) {
	buffer := make([]byte, 4<<10)
	for _, text := range texts {
		// A failed read or write ends the test with another error.
		_, _ = conn.Read(buffer)
		_, _ = io.WriteString(conn, text)
	}
}
