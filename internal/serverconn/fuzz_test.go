package serverconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/malformed"
)

// FuzzResponse guards against bytes of a backend server that make the reader panic or hang, or that are taken for the
// response to another request or have names of fields that are none.
func FuzzResponse(f *testing.F) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2;e=f\r\nok\r\n0\r\nT: u\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: a\r\n\r\nuntil the end",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"\x00\x01",
	} {
		f.Add([]byte(response))
	}
	for _, reply := range slices.Concat(malformed.Replies("Id: a\r\n", "ok"), malformed.Unusual("Id: a\r\n", "ok")) {
		f.Add([]byte(reply.Text))
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { listener.Close() })
	f.Fuzz(func(t *testing.T, bytes []byte) {
		served := make(chan struct{})
		go func() {
			defer close(served)
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Write(bytes)
			conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, conn)
		}()
		pool := NewPool(listener.Addr().String(), &net.Dialer{}, testHeaders{}, Settings{
			MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: 1 << 16,
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		response, err := pool.Do(ctx, &Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
		pool.Close()
		<-served
		if err == nil && response.Metadata.ID != "a" && response.Metadata.ID != "" {
			t.Fatalf("response to request %q", response.Metadata.ID)
		}
		if err == nil {
			checkFields(t, response.Header)
		}
		if ctx.Err() != nil {
			t.Fatal("the reader waits although the server has closed the connection")
		}
	})
}

// checkFields checks that no name or value of a field holds what could be read as the end of it.
func checkFields(t *testing.T, header http.Header) {
	for name, values := range header {
		if name == "" || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c == ':' || c >= 0x7f }) {
			t.Fatalf("field with the name %q", name)
		}
		if strings.ContainsAny(strings.Join(values, ""), "\r\n\x00") {
			t.Fatalf("field %s with the values %q", name, values)
		}
	}
}
