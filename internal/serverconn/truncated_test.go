package serverconn

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a response that ends early, in its head or its body, and is taken for a complete one. Each response is cut
// off at each byte, and the connection then ends in an ordinary way or with a reset; first, and after another response.
func TestResponseCutOffAtEachByte(t *testing.T) {
	responses := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunked": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\nX: y\r\n\r\n",
		"spaces":  "HTTP/1.1 200 OK\r\nId: a\r\nX: y\r\n z\r\nContent-Length: 12\r\n\r\nhello, world",
		"bare LF": "HTTP/1.1 200 OK\nId: a\nContent-Length: 12\n\nhello, world",
		"interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\nhello, world",
	}
	ends := map[string]func(*net.TCPConn){"closed": closeConn, "reset": resetConn}
	for name, response := range responses {
		for end, finish := range ends {
			t.Run(name+" "+end, func(t *testing.T) {
				for length := range len(response) {
					checkCutOff(t, response[:length], finish)
				}
			})
		}
	}
}

// checkCutOff sends the beginning of a response over a new connection, and over one that has carried another response.
func checkCutOff(t *testing.T, part string, finish func(*net.TCPConn)) {
	t.Helper()
	for _, earlier := range []int{0, 1} {
		pool, _ := startServer(t, func(conn *net.TCPConn, requests <-chan *http.Request) {
			for range earlier {
				fmt.Fprint(conn, strings.ReplaceAll(okResponse, "%s", (<-requests).Header.Get("Id")))
			}
			<-requests
			fmt.Fprint(conn, part)
			// Otherwise the reset could overtake the bytes.
			time.Sleep(time.Millisecond)
			finish(conn)
		})
		for range earlier {
			if _, err := sendRequest(t, pool, "earlier"); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		response, err := pool.Do(ctx, &Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}})
		cancel()
		if err == nil {
			t.Errorf("%q after %d responses counts as a complete response with body %q", part, earlier, response.Body)
		}
	}
}
