package dev

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/examples"
)

// Guards against a cut between zones that are not isolated, and against a connection out of or into the isolated zone
// that is not cut.
func TestIsolateCutsOneZoneFromAllOthers(t *testing.T) {
	c, err := examples.Config(examples.Moravia)
	if err != nil {
		t.Fatal(err)
	}
	n := NewNetwork(c)
	n.Isolate("zlin")
	for _, zones := range []struct {
		a, b string
		cut  bool
	}{{"zlin", "olomouc", true}, {"olomouc", "zlin", true}, {"zlin", "zlin", false}, {"olomouc", "ostrava", false}} {
		if n.isCut(zones.a, zones.b) != zones.cut {
			t.Errorf("%s to %s: cut %v, want %v", zones.a, zones.b, !zones.cut, zones.cut)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	host, _ := c.Host("zlin-h01")
	if _, err := n.dialer("olomouc-h01")(ctx, host.PeerAddress); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("connection into the isolated zone ended with %v, want the end of the context", err)
	}
}

// Guards against data that is lost or delivered during a cut, and against stalled calls that ignore Close or the write
// deadline.
func TestStallConnDelaysDataUntilCutEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		var cut atomic.Bool
		conn := newStallConn(near, cut.Load)
		got := make(chan string, 1)
		go func() {
			buffer := make([]byte, 5)
			_, _ = io.ReadFull(far, buffer)
			got <- string(buffer)
		}()
		cut.Store(true)
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write([]byte("early")); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("write during the cut ended with %v, want the deadline", err)
		}
		_ = conn.SetWriteDeadline(time.Time{})
		go func() { _, _ = conn.Write([]byte("later")) }()
		time.Sleep(time.Minute)
		if len(got) > 0 {
			t.Errorf("%q passed during the cut", <-got)
		}
		cut.Store(false)
		if text := <-got; text != "later" {
			t.Errorf("%q arrived after the cut, want %q", text, "later")
		}
		cut.Store(true)
		go func() { _, _ = far.Write([]byte("x")) }()
		go func() {
			time.Sleep(time.Second)
			_ = conn.Close()
		}()
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("read from a closed connection ended with %v", err)
		}
	})
}
