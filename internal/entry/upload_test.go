package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/routing"
)

// uploadBytes is longer than the part of a body that is held.
const uploadBytes = 16 * heldBodyBytes

func uploadBody() []byte { return bytes.Repeat([]byte("0123456789abcdef"), uploadBytes/16) }

// beginUpload sends the head of an upload. A negative length announces a chunked body.
func (c *client) beginUpload(path string, length int) {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: u\r\nPatience: 60s\r\n%s\r\n\r\n", path, framing)
}

// sendChunks sends a body in chunks of a few kilobytes, without the last chunk.
func (c *client) sendChunks(body []byte) {
	for len(body) > 0 {
		part := body[:min(len(body), 5000)]
		fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(part), part)
		body = body[len(part):]
	}
}

// awaitReleased waits until no memory is reserved for bodies.
func (f *fixture) awaitReleased() {
	for f.server.memory.Reserved() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// limitBodies changes the configured limit of request bodies.
func (f *fixture) limitBodies(bytes int64) {
	view := *f.view.Load()
	config := *view.Routes.Config()
	config.Limits.MaxBodyBytes = bytes
	view.Routes = routing.NewTable(&config)
	f.view.Store(&view)
}

// Guards against a long body that is changed or held whole on its way, and against a connection that cannot be used
// after it.
func TestUploadIsForwardedWhileItArrives(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			started, received := make(chan struct{}, 2), make(chan []byte, 2)
			b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				body, _ := io.ReadAll(r.Body)
				received <- body
				signed(w, 200, "ok")
			})
			f := newFixture(t, b)
			conn := f.dial(t)
			body := uploadBody()
			half := len(body) / 2
			for range 2 {
				if chunked {
					conn.beginUpload("/order/x", -1)
					conn.sendChunks(body[:half])
				} else {
					conn.beginUpload("/order/x", len(body))
					conn.conn.Write(body[:half])
				}
				<-started
				if reserved := f.server.memory.Reserved(); reserved > 2*heldBodyBytes {
					t.Errorf("%d bytes are held of a body of which %d have arrived", reserved, half)
				}
				if chunked {
					conn.sendChunks(body[half:])
					io.WriteString(conn.conn, "0\r\n\r\n")
				} else {
					conn.conn.Write(body[half:])
				}
				if response, text := conn.receive(); response.StatusCode != 200 || text != "ok" {
					t.Fatalf("status %d, body %q", response.StatusCode, text)
				}
				if got := <-received; !bytes.Equal(got, body) {
					t.Fatalf("backend server received %d bytes, want the %d sent", len(got), len(body))
				}
			}
			f.awaitReleased()
		})
	}
}

// Guards against an upload that breaks off at the client and is complete for the backend server.
func TestUploadBreaksOff(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan error, 1)
			b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
				close(started)
				_, err := io.Copy(io.Discard, r.Body)
				ended <- err
			})
			f := newFixture(t, b)
			conn := f.dial(t)
			body := uploadBody()
			if chunked {
				conn.beginUpload("/order/x", -1)
				conn.sendChunks(body[:len(body)/2])
			} else {
				conn.beginUpload("/order/x", len(body))
				conn.conn.Write(body[:len(body)/2])
			}
			<-started
			conn.conn.Close()
			if err := <-ended; err == nil {
				t.Fatal("the broken body was complete for the backend server")
			}
			if b.arrivals.Load() != 1 {
				t.Errorf("%d arrivals, want 1", b.arrivals.Load())
			}
			f.awaitReleased()
		})
	}
}

// Guards against an upload that holds its slot for as long as the backend server does not read it, and against one that
// is refused as not executed although it was sent.
func TestServerStopsReadingUpload(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	f := newFixture(t, b)
	f.limitBodies(64 * uploadBytes)
	conn := f.dial(t)
	conn.beginUpload("/short/x", 64*uploadBytes)
	go func() {
		// The gateway stops reading, so this ends with an error.
		body := uploadBody()
		for range 64 {
			if _, err := conn.conn.Write(body); err != nil {
				return
			}
		}
	}()
	if response, _ := conn.receive(); response.StatusCode != http.StatusGatewayTimeout || !response.Close {
		t.Fatalf("status %d, close %v, want 504 and close", response.StatusCode, response.Close)
	}
	f.awaitReleased()
	for f.server.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a body beyond the limit that is forwarded as complete, and against an answer that does not say so.
func TestUploadIsTooLong(t *testing.T) {
	ended := make(chan error, 1)
	b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	})
	f := newFixture(t, b)
	conn := f.dial(t)
	conn.beginUpload("/order/x", -1)
	go func() {
		for range 3 {
			conn.sendChunks(uploadBody())
		}
		io.WriteString(conn.conn, "0\r\n\r\n")
	}()
	if response, _ := conn.receive(); response.StatusCode != http.StatusRequestEntityTooLarge || !response.Close {
		t.Fatalf("status %d, close %v, want 413 and close", response.StatusCode, response.Close)
	}
	if err := <-ended; err == nil {
		t.Fatal("the body was complete for the backend server")
	}
	f.awaitReleased()
	// The client does not close the connection.
	for f.server.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against bodies that together take more memory than the limit, and against a refusal that does not say that the
// request has not run.
func TestBodiesExceedMemory(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		signed(w, 200, "ok")
	})
	f := newFixture(t, b)
	var held []*client
	for range bodyMemoryBytes / heldBodyBytes {
		conn := f.dial(t)
		conn.beginUpload("/order/x", heldBodyBytes)
		conn.conn.Write(uploadBody()[:heldBodyBytes-1])
		held = append(held, conn)
	}
	for f.server.memory.Reserved() < bodyMemoryBytes-heldBodyBytes/2 {
		time.Sleep(time.Millisecond)
	}
	conn := f.dial(t)
	conn.beginUpload("/order/x", heldBodyBytes)
	conn.conn.Write(uploadBody()[:heldBodyBytes])
	response, _ := conn.receive()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Fatalf("status %d, Retry-After %q, close %v", response.StatusCode, response.Header.Get("Retry-After"), response.Close)
	}
	for _, conn := range held {
		conn.conn.Close()
	}
	close(release)
	f.awaitReleased()
}

// Guards against memory that stays reserved for a request that is dropped because the response before it closed the
// connection.
func TestDroppedRequestReleasesMemory(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		signed(w, 200, "ok")
	})
	f := newFixture(t, b)
	conn := f.dial(t)
	conn.send("POST", "/order/x", "a")
	for b.arrivals.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.beginUpload("/order/y", heldBodyBytes)
	for f.server.reading() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.server.Drain()
	close(release)
	if response, _ := conn.receive(); !response.Close {
		t.Fatal("the response does not close the connection")
	}
	conn.conn.Write(uploadBody()[:heldBodyBytes])
	f.awaitReleased()
	for f.server.Connections() > 0 {
		time.Sleep(time.Millisecond)
	}
	if reserved := f.server.memory.Reserved(); reserved != 0 {
		t.Fatalf("%d bytes still reserved", reserved)
	}
}
