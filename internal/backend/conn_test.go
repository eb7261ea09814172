package backend

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// TestReassignedConn guards against a request that counts as not written because its connection went to
// the next request before the first one failed.
func TestReassignedConn(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &guardedConn{Conn: near}
	var first, second attempt
	first.gotConn(httptrace.GotConnInfo{Conn: conn})
	go func() { _, _ = far.Read(make([]byte, 16)) }()
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	second.gotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	if !first.abort() {
		t.Error("the written request counts as not written")
	}
	if conn.sealed {
		t.Error("the connection of the next request was sealed")
	}
	if second.abort() || !conn.sealed {
		t.Error("the next request counts as written, or can still be written")
	}
	if _, err := conn.Write([]byte("request")); err != errSealed {
		t.Errorf("write after the seal: %v", err)
	}
}
