package accept

import (
	"context"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204") // fixed, so that results are reproducible
	}
	os.Exit(m.Run())
}

// testConfig returns a small configuration whose content depends on n.
func testConfig(n int) *config.Config {
	return &config.Config{
		Team: "team", Preference: config.PreferBalance,
		Zones: []config.Zone{{Name: "a", Region: "r"}},
		Hosts: []config.Host{{Name: "h1", Zone: "a", Cell: "a-c01", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", AdminAddress: "127.0.0.1:3"}},
		Services: []config.Service{{Name: "s", Slots: 1 + n, MaxConnections: 100, MaxRequestMillis: 400,
			Servers: []config.Server{{Name: "s1", Zone: "a", Cell: "a-c01", Address: "127.0.0.1:4"}}}},
	}
}

func newAccepter(s store.Store) *Accepter {
	return &Accepter{Store: s, Now: func() time.Time { return time.Unix(1e9, 0) }}
}

// Guards against keys that move because an accept or an announcement drops the stored placements.
func TestPlacementsArePreserved(t *testing.T) {
	ctx := t.Context()
	accepter := newAccepter(newFakeStore())
	configWith := func(servers int) *config.Config {
		c := testConfig(1)
		c.Zones = append(c.Zones, config.Zone{Name: "b", Region: "r"})
		c.Hosts = append(c.Hosts, config.Host{Name: "h2", Zone: "b", Cell: "b-c01", PeerAddress: "127.0.0.2:1", CallerAddress: "127.0.0.2:2", AdminAddress: "127.0.0.2:3"})
		s := &c.Services[0]
		s.Keyed, s.Partitions = true, 1024
		for i := range servers {
			s.Servers = append(s.Servers, config.Server{Name: fmt.Sprint("b", i), Zone: "b", Cell: "b-c01", Address: fmt.Sprint("127.0.0.2:", 10+i)})
		}
		return c
	}
	var last *config.Config
	for i, servers := range []int{3, 4, 5, 4, 4} {
		c, err := accepter.Accept(ctx, "team", Request{ID: fmt.Sprint(i), BaseRevision: uint64(2 * i), Config: configWith(servers)})
		if err != nil {
			t.Fatal(err)
		}
		announced, err := accepter.Announce(ctx, "team", Announcement{ID: fmt.Sprint("s", i), Stop: config.Stop{Target: "h1", At: time.Unix(2e9, 0), ForSeconds: 1}})
		if err != nil || !reflect.DeepEqual(announced.Placements, c.Placements) || len(c.Placements) != min(i, 1) {
			t.Fatalf("%d placements, %d after the announcement, %v", len(c.Placements), len(announced.Placements), err)
		}
		if last != nil {
			for _, moves := range last.Diff(c).Moves {
				if moves.Moved != moves.MinMoves {
					t.Errorf("accept %d: %s", i, moves)
				}
			}
		}
		last = announced
	}
}

// acceptCall is an accept that an operator may retry, with the combined result of its attempts.
type acceptCall struct {
	request   Request
	accepted  bool
	undecided bool // at least one attempt was undecided
}

// Guards against decreasing revisions, accepts that are lost or applied twice, and refusals of accepts that took
// effect. The injected faults are lost responses, delayed writes, stale reads, outages, concurrent accepts and
// retries.
func TestAcceptsAreNeverLostOrAppliedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, fake := context.Background(), newFakeStore()
		accepter := newAccepter(fake)
		var calls []*acceptCall
		depth := 0
		var run func(c *acceptCall)
		fake.injectFault = func(name string) string {
			faults := map[string][]string{"get": {"", "", "", "down", "stale"}, "cas": {"", "", "down", "lost", "late", "concurrent", "deliver"}}
			fault := rapid.SampledFrom(faults[name]).Draw(t, name)
			if fault == "deliver" {
				fake.deliverDelayed()
			}
			if fault == "concurrent" && depth < 2 {
				run(drawCall(t, fake, &calls))
			}
			return fault
		}
		run = func(c *acceptCall) {
			depth++
			defer func() { depth-- }()
			_, err := accepter.Accept(ctx, "team", c.request)
			switch {
			case err == nil:
				c.accepted = true
			case errors.Is(err, ErrUndecided):
				c.undecided = true
			case errors.Is(err, ErrConflict), errors.Is(err, ErrStoreUnavailable):
			default:
				t.Fatalf("accept %s: %v", c.request.ID, err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) { run(drawCall(t, fake, &calls)) },
			"repeat": func(t *rapid.T) {
				if len(calls) > 0 {
					run(rapid.SampledFrom(calls).Draw(t, "call"))
				}
			},
			"deliver": func(*rapid.T) { fake.deliverDelayed() },
			"": func(t *rapid.T) {
				revisions, written := fake.revisions(t), make(map[string]int)
				for i, c := range revisions {
					if c.Revision != uint64(i+1) {
						t.Fatalf("write %d has revision %d", i+1, c.Revision)
					}
					written[c.ID]++
				}
				for _, c := range calls {
					if n := written[c.request.ID]; n > 1 || c.accepted && n != 1 || !c.accepted && !c.undecided && n != 0 {
						t.Fatalf("accept %s was written %d times (accepted: %v, undecided: %v)", c.request.ID, n, c.accepted, c.undecided)
					}
				}
			},
		})
	})
}

func drawCall(t *rapid.T, fake *fakeStore, calls *[]*acceptCall) *acceptCall {
	baseRevision := fake.latest().Version
	if baseRevision > 0 && rapid.IntRange(0, 3).Draw(t, "outdated") == 0 {
		baseRevision--
	}
	n := len(*calls)
	c := &acceptCall{request: Request{ID: fmt.Sprint("id-", n), BaseRevision: baseRevision, Config: testConfig(n % 90), Change: fmt.Sprint("change ", n)}}
	*calls = append(*calls, c)
	return c
}

// Guards against two concurrent accepts that both succeed or both fail, and against a conflict that omits one of the
// changes.
func TestExactlyOneOfTwoConcurrentAcceptsSucceeds(t *testing.T) {
	ctx, fake := context.Background(), newFakeStore()
	accepter := newAccepter(fake)
	var concurrentErr error
	intercepted := false
	fake.injectFault = func(name string) string {
		if name == "cas" && !intercepted {
			intercepted = true
			_, concurrentErr = accepter.Accept(ctx, "team", Request{ID: "b", Config: testConfig(2), Operator: "berta", Change: "slots 3"})
		}
		return ""
	}
	_, err := accepter.Accept(ctx, "team", Request{ID: "a", Config: testConfig(1), Operator: "anna", Change: "slots 2"})
	var conflict *Conflict
	if concurrentErr != nil || !errors.As(err, &conflict) || !errors.Is(err, ErrConflict) {
		t.Fatalf("concurrent accept: %v; interrupted accept: %v", concurrentErr, err)
	}
	if conflict.RefusedChange != "slots 2" || len(conflict.AcceptedSince) != 1 || conflict.AcceptedSince[0].Change != "slots 3" || conflict.AcceptedSince[0].Operator != "berta" {
		t.Errorf("conflict: %+v", conflict)
	}
}

// Guards against refusals that are missing or return the wrong error.
func TestRefusals(t *testing.T) {
	ctx, fake := context.Background(), newFakeStore()
	accepter := newAccepter(fake)
	first, err := accepter.Accept(ctx, "team", Request{ID: "1", Config: testConfig(1)})
	if err != nil || first.Revision != 1 || first.ID != "1" {
		t.Fatalf("first accept: %+v, %v", first, err)
	}
	idempotent := testConfig(1)
	idempotent.Services[0].Idempotent = []config.Rule{{Method: "POST", Path: "/**"}}
	invalid := testConfig(-1)
	cases := []struct {
		name    string
		request Request
		want    error
	}{
		{"no id", Request{BaseRevision: 1, Config: testConfig(2)}, ErrNoID},
		{"id reused", Request{ID: "1", BaseRevision: 1, Config: testConfig(2)}, ErrIDReused},
		{"outdated", Request{ID: "2", BaseRevision: 0, Config: testConfig(2)}, ErrConflict},
		{"unknown revision", Request{ID: "2", BaseRevision: 9, Config: testConfig(2)}, ErrConflict},
		{"invalid", Request{ID: "2", BaseRevision: 1, Config: invalid}, config.ErrInvalid},
		{"unsafe", Request{ID: "2", BaseRevision: 1, Config: idempotent}, config.ErrUnsafe},
		{"acknowledged hazard", Request{ID: "3", BaseRevision: 1, Config: idempotent, Acknowledged: []config.HazardKind{config.HazardIdempotent}}, nil},
		{"repeated", Request{ID: "1", BaseRevision: 0, Config: testConfig(1)}, nil},
	}
	for _, c := range cases {
		if _, err := accepter.Accept(ctx, "team", c.request); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if _, err := accepter.Accept(ctx, "rival", Request{ID: "4", Config: testConfig(1)}); !errors.Is(err, config.ErrUnsafe) {
		t.Errorf("another team's document: %v", err)
	}
	accepter.InForce = func(string) *config.Config { return &config.Config{Revision: 7} }
	if _, err := accepter.Accept(ctx, "team", Request{ID: "5", BaseRevision: 2, Config: testConfig(3)}); !errors.Is(err, ErrStoreBehind) {
		t.Errorf("store behind: %v", err)
	}
	fake.injectFault = func(string) string { return "down" }
	if _, err := accepter.Accept(ctx, "team", Request{ID: "6", BaseRevision: 2, Config: testConfig(3)}); !errors.Is(err, ErrStoreUnavailable) || errors.Is(err, ErrUndecided) {
		t.Errorf("store down: %v", err)
	}
	if current, err := accepter.Current(ctx, "team"); err != nil || current.Revision != 7 {
		t.Errorf("store down, in force: %+v, %v", current, err)
	}
}

// Guards against an accept of a regenerated configuration that drops planned stops, and against planned
// stops that remain after their target was removed.
func TestAcceptKeepsPlannedStops(t *testing.T) {
	ctx, fake := context.Background(), newFakeStore()
	accepter := newAccepter(fake)
	stop := config.Stop{Target: "h1", At: time.Unix(1e9+60, 0), ForSeconds: 600}
	steps := []struct {
		name  string
		run   func() (*config.Config, error)
		want  error
		stops int
	}{
		{"none yet", func() (*config.Config, error) {
			return accepter.Announce(ctx, "team", Announcement{ID: "0", Stop: stop})
		}, ErrNoConfig, 0},
		{"first", func() (*config.Config, error) {
			return accepter.Accept(ctx, "team", Request{ID: "1", Config: testConfig(1)})
		}, nil, 0},
		{"announce", func() (*config.Config, error) {
			return accepter.Announce(ctx, "team", Announcement{ID: "2", Stop: stop})
		}, nil, 1},
		{"repeat", func() (*config.Config, error) {
			return accepter.Announce(ctx, "team", Announcement{ID: "2", Stop: stop})
		}, nil, 1},
		{"replace", func() (*config.Config, error) {
			return accepter.Announce(ctx, "team", Announcement{ID: "3", Stop: stop})
		}, nil, 1},
		{"unknown host", func() (*config.Config, error) {
			return accepter.Announce(ctx, "team", Announcement{ID: "4", Stop: config.Stop{Target: "h9", At: stop.At, ForSeconds: 1}})
		}, ErrTargetNotFound, 0},
		{"past", func() (*config.Config, error) {
			return accepter.Announce(ctx, "team", Announcement{ID: "4", Stop: config.Stop{Target: "h1", At: time.Unix(1, 0), ForSeconds: 1}})
		}, config.ErrInvalid, 0},
		{"accept", func() (*config.Config, error) {
			return accepter.Accept(ctx, "team", Request{ID: "5", BaseRevision: 3, Config: testConfig(2)})
		}, nil, 1},
		{"cancel", func() (*config.Config, error) { return accepter.Cancel(ctx, "team", Announcement{ID: "6", Stop: stop}) }, nil, 0},
		{"cancel twice", func() (*config.Config, error) { return accepter.Cancel(ctx, "team", Announcement{ID: "7", Stop: stop}) }, ErrStopNotFound, 0},
	}
	for _, step := range steps {
		c, err := step.run()
		if !errors.Is(err, step.want) || c != nil && len(c.Stops) != step.stops {
			t.Fatalf("%s: %+v, %v", step.name, c, err)
		}
	}
}
