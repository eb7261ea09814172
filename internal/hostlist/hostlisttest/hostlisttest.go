// Package hostlisttest holds the contract test that every implementation of hostlist.List must pass.
package hostlisttest

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/hostlist"
)

// Fixture is a list under test with the fake that backs it.
type Fixture struct {
	List hostlist.List
	Fake *hostlist.Fake
	// Advance moves the clock of the fake forward.
	Advance func(time.Duration)
}

// Run runs the contract test. newFixture returns a fixture with an empty list. The test guards against implementations
// that differ in order, lag, wrong entries or errors.
func Run(t *testing.T, newFixture func(t *testing.T) Fixture) {
	const lag = 10 * time.Second
	f := newFixture(t)
	wantHosts := func(hosts ...hostlist.Host) {
		t.Helper()
		got, err := f.List.Hosts(t.Context())
		if err != nil || !slices.Equal(got, hosts) {
			t.Fatalf("Hosts() = %v, %v, want %v", got, err, hosts)
		}
	}
	a, b := hostlist.Host{Name: "a", State: hostlist.Live}, hostlist.Host{Name: "b", State: hostlist.Live}
	leaving := hostlist.Host{Name: "a", State: hostlist.Leaving}
	wantHosts()
	f.Fake.Set("b", hostlist.Live)
	f.Fake.Set("a", hostlist.Live)
	wantHosts(a, b)
	f.Fake.SetLag(lag)
	f.Advance(lag)
	wantHosts(a, b)
	f.Fake.Set("a", hostlist.Leaving)
	f.Fake.Remove("b")
	f.Advance(lag - 1)
	wantHosts(a, b)
	f.Advance(1)
	wantHosts(leaving)
	f.Fake.SetOverride("b", hostlist.Live)
	f.Fake.SetOverride("a", "")
	wantHosts(b)
	f.Fake.ClearOverride("a")
	f.Fake.ClearOverride("b")
	wantHosts(leaving)
	f.Fake.SetDown(true)
	if _, err := f.List.Hosts(t.Context()); !errors.Is(err, hostlist.ErrUnavailable) {
		t.Fatalf("Hosts during an outage returned %v, want ErrUnavailable", err)
	}
	f.Fake.SetDown(false)
	wantHosts(leaving)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := f.List.Hosts(canceled); !errors.Is(err, hostlist.ErrUnavailable) || !errors.Is(err, context.Canceled) {
		t.Fatalf("Hosts with a canceled context returned %v, want Canceled and ErrUnavailable", err)
	}
	if f.Fake.Calls() == 0 {
		t.Fatal("Calls() = 0 after calls of Hosts")
	}
}
