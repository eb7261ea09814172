package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

func hopBytes(f *testing.F) (head, rest []byte) {
	f.Helper()
	c := &call{request: &backend.Request{Service: "shared", Method: "POST", Path: "/a", Header: http.Header{"A": {"b"}},
		Deadline: time.Unix(1, 0)}, body: []byte("body")}
	var buffer bytes.Buffer
	if err := writeRequest(&buffer, c, target{server: "s1"}); err != nil {
		f.Fatal(err)
	}
	_, head, err := wire.ReadFrame(&buffer, nil)
	if err != nil {
		f.Fatal(err)
	}
	return head, buffer.Bytes()
}

// FuzzReadHop guards against a peer whose bytes crash the home, or make it execute a request that did not arrive whole.
func FuzzReadHop(f *testing.F) {
	head, rest := hopBytes(f)
	f.Add(head, rest)
	f.Add(head, rest[:len(rest)-1])
	f.Add([]byte{}, []byte{})
	g := New(Options{})
	f.Fuzz(func(t *testing.T, head, rest []byte) {
		stream := &peer.ServerStream{Reader: bufio.NewReader(bytes.NewReader(rest))}
		c, ok := g.readHop(head, stream)
		if ok && int64(len(c.body)) != c.request.ContentLength {
			t.Errorf("accepted %d bytes of a body of %d", len(c.body), c.request.ContentLength)
		}
	})
}

// FuzzHopBody guards against a cut or foreign answer that ends like a whole one.
func FuzzHopBody(f *testing.F) {
	var whole bytes.Buffer
	w := &hopWriter{conn: &whole, id: make([]byte, 16)}
	if err := w.send(bytes.NewReader([]byte("an answer"))); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		body := &hopBody{conn: &peer.ClientStream{Reader: bufio.NewReader(bytes.NewReader(data))}}
		got, err := io.ReadAll(body)
		if err == nil && body.total != int64(len(got)) {
			t.Errorf("a whole answer of %d bytes counts %d", len(got), body.total)
		}
	})
}

// FuzzParse guards against a caller's request that crashes the gateway, or that is taken as idempotent although the
// backend server may read its path in another way.
func FuzzParse(f *testing.F) {
	f.Add("GET", "/v1/keyed/status/7", "k", "s", "100")
	f.Add("GET", "/v1/keyed/status/../orders", "k", "s", "")
	f.Add("POST", "/v1/shared/%2e%2e/x?y=1", "", "s", "30001")
	v := NewView("entry", testConfig("127.0.0.1:1"), &cell.Snapshot{})
	f.Fuzz(func(t *testing.T, method, target, key, subscriber, timeout string) {
		u, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Method, r.URL = method, u
		r.Header.Set(HeaderKey, key)
		r.Header.Set(HeaderSubscriber, subscriber)
		r.Header.Set(HeaderTimeout, timeout)
		c, problem := parse(v, r, time.Unix(0, 0))
		switch {
		case problem != nil && problem.Outcome != outcome.NotExecuted:
			t.Errorf("refused with outcome %v", problem.Outcome)
		case problem == nil && c.request.Idempotent && bytes.Contains([]byte(c.request.Path), []byte("/../")):
			t.Errorf("path %q counts as idempotent", c.request.Path)
		}
	})
}
