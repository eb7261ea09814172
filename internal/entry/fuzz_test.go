package entry

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzRequest guards against bytes of a client that make the reader panic or hang, or that reach a backend server as a
// request whose body is not complete.
func FuzzRequest(f *testing.F) {
	for _, request := range []string{
		"GET /read/x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n",
		"POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab",
		"POST /order/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /read/y HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /order/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /read/x HTTP/1.0\r\n\r\n",
		"P",
		"\x16\x03\x01",
	} {
		f.Add([]byte(request))
	}
	b := newBackend(f, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			signed(w, 200, "ok")
		}
	})
	fixture := newFixture(f, b)
	f.Fuzz(func(t *testing.T, bytes []byte) {
		conn, err := net.Dial("tcp4", fixture.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.Write(bytes)
		conn.(*net.TCPConn).CloseWrite()
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
			t.Fatal("the connection stays open although the client has closed its side")
		}
	})
}
