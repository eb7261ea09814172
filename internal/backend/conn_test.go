package backend

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
)

// TestReassignedConn checks that a written request still counts as written if its connection is reassigned
// to the next request before the first one fails, and that the failure does not close the connection.
func TestReassignedConn(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	conn := &writeTrackingConn{Conn: httpcheck.NewConn(local)}
	var first, second attempt
	first.gotConn(httptrace.GotConnInfo{Conn: conn})
	go func() { _, _ = remote.Read(make([]byte, 16)) }()
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	second.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	if !first.stopWrites() {
		t.Error("written request is reported as not written")
	}
	if conn.closed {
		t.Error("connection of the next request was closed")
	}
	if second.stopWrites() || !conn.closed {
		t.Error("next request is reported as written, or its connection is still open")
	}
	if _, err := conn.Write([]byte("request")); err != errConnClosed {
		t.Errorf("Write after the connection was closed returned %v, want errConnClosed", err)
	}
}
