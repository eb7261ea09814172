// Package hostlisttest is the contract that every hostlist.List must meet.
package hostlisttest

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/hostlist"
)

// Fixture is one list under test together with the stand-in behind it.
type Fixture struct {
	List    hostlist.List
	Fake *hostlist.Fake
	// Advance moves the clock of Backing.
	Advance func(time.Duration)
}

// Run runs the contract against the list that open returns. It guards against implementations that differ in order,
// lag, wrong entries or errors.
func Run(t *testing.T, open func(t *testing.T) Fixture) {
	const lag = 10 * time.Second
	f := open(t)
	want := func(hosts ...hostlist.Host) {
		t.Helper()
		got, err := f.List.Hosts(t.Context())
		if err != nil || !slices.Equal(got, hosts) {
			t.Fatalf("list %v, %v, want %v", got, err, hosts)
		}
	}
	a, b := hostlist.Host{Name: "a", State: hostlist.Live}, hostlist.Host{Name: "b", State: hostlist.Live}
	leaving := hostlist.Host{Name: "a", State: hostlist.Leaving}
	want()
	f.Fake.Set("b", hostlist.Live)
	f.Fake.Set("a", hostlist.Live)
	want(a, b)
	f.Fake.SetLag(lag)
	f.Advance(lag)
	want(a, b)
	f.Fake.Set("a", hostlist.Leaving)
	f.Fake.Remove("b")
	f.Advance(lag - 1)
	want(a, b)
	f.Advance(1)
	want(leaving)
	f.Fake.SetOverride("b", hostlist.Live)
	f.Fake.SetOverride("a", "")
	want(b)
	f.Fake.ClearOverride("a")
	f.Fake.ClearOverride("b")
	want(leaving)
	f.Fake.SetDown(true)
	if _, err := f.List.Hosts(t.Context()); !errors.Is(err, hostlist.ErrUnavailable) {
		t.Fatalf("list that is down returned %v", err)
	}
	f.Fake.SetDown(false)
	want(leaving)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := f.List.Hosts(ended); !errors.Is(err, hostlist.ErrUnavailable) || !errors.Is(err, context.Canceled) {
		t.Fatalf("ended call returned %v", err)
	}
	if f.Fake.Calls() == 0 {
		t.Fatal("calls were not counted")
	}
}
