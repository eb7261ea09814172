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

func encodedRequest(f *testing.F) (head, rest []byte) {
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

// FuzzReadForwardedRequest checks that malformed data from a peer neither crashes the home gateway nor makes it execute
// an incomplete request.
func FuzzReadForwardedRequest(f *testing.F) {
	head, rest := encodedRequest(f)
	f.Add(head, rest)
	f.Add(head, rest[:len(rest)-1])
	f.Add([]byte{}, []byte{})
	g := New(Options{})
	f.Fuzz(func(t *testing.T, head, rest []byte) {
		stream := &peer.ServerStream{Reader: bufio.NewReader(bytes.NewReader(rest))}
		c, ok := g.readForwardedRequest(head, stream)
		if ok && int64(len(c.body)) != c.request.ContentLength {
			t.Errorf("accepted %d bytes of a body of %d", len(c.body), c.request.ContentLength)
		}
	})
}

// FuzzPeerResponseBody checks that a truncated response, or one to another request, is not accepted as complete.
func FuzzPeerResponseBody(f *testing.F) {
	var whole bytes.Buffer
	w := &peerResponseWriter{conn: &whole, requestID: make([]byte, 16)}
	if err := w.send(bytes.NewReader([]byte("a response"))); err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:whole.Len()-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		body := &peerResponseBody{conn: &peer.ClientStream{Reader: bufio.NewReader(bytes.NewReader(data))}}
		got, err := io.ReadAll(body)
		if err == nil && body.total != int64(len(got)) {
			t.Errorf("complete response of %d bytes, counted as %d", len(got), body.total)
		}
	})
}

// FuzzParseRequest checks that no request of a client crashes the gateway, or is treated as idempotent although the
// backend server may interpret its path differently.
func FuzzParseRequest(f *testing.F) {
	f.Add("GET", "/v1/keyed/status/7", "k", "s", "100")
	f.Add("GET", "/v1/keyed/status/../orders", "k", "s", "")
	f.Add("POST", "/v1/shared/%2e%2e/x?y=1", "", "s", "30001")
	table := NewRoutingTable("entry", testConfig("127.0.0.1:1"), &cell.Snapshot{})
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
		c, problem := parseRequest(table, r, time.Unix(0, 0))
		switch {
		case problem != nil && problem.Outcome != outcome.NotExecuted:
			t.Errorf("refused with the outcome %v, want not executed", problem.Outcome)
		case problem == nil && c.request.Idempotent && bytes.Contains([]byte(c.request.Path), []byte("/../")):
			t.Errorf("path %q is treated as idempotent", c.request.Path)
		}
	})
}
