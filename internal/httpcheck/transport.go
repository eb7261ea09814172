package httpcheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that returns only well-formed responses. A response that is found to be malformed in its
// head is an error of RoundTrip, otherwise one of reading its body; both are an ErrMalformed. Responses over TLS are not checked.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that uses a copy of base.
func NewTransport(base *http.Transport) *Transport {
	checked := base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	checked.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return Wrap(checked)
}

// Wrap returns a transport that uses base, whose connections have the methods of Conn.
func Wrap(base *http.Transport) *Transport { return &Transport{base: base} }

// checker is a connection that checks heads and records how it ended.
type checker interface {
	BeginResponse()
	Head() *Head
	SawReset() bool
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn checker
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(checker); conn != nil {
			conn.BeginResponse()
		}
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if conn != nil && response.Body != http.NoBody {
		response.Body = &body{ReadCloser: response.Body, conn: conn, head: conn.Head(), response: response}
	}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
