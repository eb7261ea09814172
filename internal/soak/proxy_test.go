package soak

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// testTimeout fails a test whose proxy forwards nothing. It is far above the run time of a passing test.
const testTimeout = 20 * time.Second

// startProxy returns a proxy and a channel of the connections that its target accepts.
func startProxy(t *testing.T) (*Proxy, <-chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn.(*net.TCPConn)
		}
	}()
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy, accepted
}

func connect(t *testing.T, proxy *Proxy) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp4", proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// Guards against a stalled connection that loses data although its sender keeps the connection open.
func TestStallDelaysData(t *testing.T) {
	proxy, accepted := startProxy(t)
	conn := connect(t, proxy)
	server := <-accepted
	proxy.Stall()
	if _, err := conn.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	proxy.ClearFaults()
	got := make([]byte, 4)
	if _, err := io.ReadFull(server, got); err != nil || string(got) != "held" {
		t.Fatalf("received %q, error %v", got, err)
	}
}

// Guards against delivering data after its sender has reset the connection, which does not happen on a real network.
func TestResetDiscardsBufferedData(t *testing.T) {
	proxy, accepted := startProxy(t)
	conn := connect(t, proxy)
	server := <-accepted
	proxy.Stall()
	if _, err := conn.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	reset(conn)
	if n, err := server.Read(make([]byte, 4)); n > 0 || err == nil {
		t.Fatalf("received %d bytes, error %v", n, err)
	}
}

// Guards against a disconnected proxy that still forwards data on open or new connections.
func TestDisconnectResetsConnections(t *testing.T) {
	proxy, accepted := startProxy(t)
	conn := connect(t, proxy)
	<-accepted
	proxy.Disconnect()
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("an open connection was not reset: %v", err)
	}
	second, err := net.Dial("tcp4", proxy.Addr())
	if err != nil {
		// The proxy reset the connection before Dial returned.
		return
	}
	defer second.Close()
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Fatal("a new connection was not reset")
	}
}

// Guards against a reset that the proxy passes on as an ordinary end, because it met the reset while it forwarded data to the
// connection that was reset.
func TestResetWhileForwarding(t *testing.T) {
	for range 20 {
		proxy, accepted := startProxy(t)
		conn := connect(t, proxy)
		server := <-accepted
		end, err := newProxyEnd(conn)
		if err != nil {
			t.Fatal(err)
		}
		go end.writer.Write(make([]byte, 8<<20))
		if _, err := io.ReadFull(server, make([]byte, 16)); err != nil {
			t.Fatal(err)
		}
		reset(server)
		if _, err := io.Copy(io.Discard, conn); err == nil && !end.writer.SawReset() {
			t.Fatal("the connection ended in an ordinary way")
		}
	}
}
