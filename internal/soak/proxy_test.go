package soak

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// testTimeout ends a test whose proxy lets nothing through, long after any that works.
const testTimeout = 20 * time.Second

// startProxy returns a proxy and the connections that arrive behind it.
func startProxy(t *testing.T) (*Proxy, <-chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	arrived := make(chan *net.TCPConn, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			arrived <- conn.(*net.TCPConn)
		}
	}()
	proxy, err := NewProxy(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy, arrived
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

// Guards against a silent connection whose bytes are lost although their sender waits for them to arrive.
func TestSilenceHoldsBytesBack(t *testing.T) {
	proxy, arrived := startProxy(t)
	conn := connect(t, proxy)
	server := <-arrived
	proxy.Stall()
	if _, err := conn.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	proxy.ClearFaults()
	got := make([]byte, 4)
	if _, err := io.ReadFull(server, got); err != nil || string(got) != "held" {
		t.Fatalf("%q arrived, error %v", got, err)
	}
}

// Guards against a soak in which bytes arrive that their sender has given up, as they do on no network.
func TestResetDiscardsHeldBytes(t *testing.T) {
	proxy, arrived := startProxy(t)
	conn := connect(t, proxy)
	server := <-arrived
	proxy.Stall()
	if _, err := conn.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	reset(conn)
	if n, err := server.Read(make([]byte, 4)); n > 0 || err == nil {
		t.Fatalf("%d bytes arrived, error %v", n, err)
	}
}

// Guards against a broken way that still lets bytes through.
func TestBreakResets(t *testing.T) {
	proxy, arrived := startProxy(t)
	conn := connect(t, proxy)
	<-arrived
	proxy.Disconnect()
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("an open connection was not reset: %v", err)
	}
	again, err := net.Dial("tcp4", proxy.Addr())
	if err != nil {
		// The reset came before the setup of the connection had ended.
		return
	}
	defer again.Close()
	if _, err := again.Read(make([]byte, 1)); err == nil {
		t.Fatal("a new connection was not reset")
	}
}
