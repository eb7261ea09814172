package netdial

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Guards against a grant that is delivered after its sender has given up: a connection that is closed normally still
// delivers data held up by a network partition when it heals, so that keys were granted again with an old fencing
// token.
func TestConnectionEndsWithReset(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	settings := Settings{ConnectTimeout: time.Second, UserTimeout: time.Second, KeepAliveInterval: time.Second}
	client, err := settings.Dialer().DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if _, err := client.Write([]byte("order")); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 16)
	for {
		if _, err = server.Read(buffer); err != nil {
			break
		}
	}
	if !errors.Is(err, unix.ECONNRESET) {
		t.Fatalf("server read %v, want a reset", err)
	}
}
