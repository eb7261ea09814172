package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/logging"
)

// Guards against a panic of the elected gateway when a backend server restarts while an ownership table is being loaded
// or cannot be decoded.
func TestServerRestartsWhileTableLoads(t *testing.T) {
	c := New(Options{Entries: testEntryDecoder{}, Clock: func() time.Duration { return time.Second }, Log: logging.Discard().Component("control")})
	c.assigners["s"] = &assignment{}
	for started := range int64(2) {
		value, err := json.Marshal(directory.Server{ID: "a", StartedAtMs: started, Service: "s", Addr: "a"})
		if err != nil {
			t.Fatal(err)
		}
		c.applyServerEvent("a", kv.Event{Item: kv.Item{Key: "servers/a", Value: value}})
	}
	if server, _ := c.directory.Lookup("a"); server.StartedAtMs != 1 {
		t.Fatalf("incarnation %d in the directory, want 1", server.StartedAtMs)
	}
}
