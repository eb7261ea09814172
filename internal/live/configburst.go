package live

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/config"
)

const (
	// propagationLimit is the time within which an accepted revision must be in force on all gateways.
	propagationLimit = 7 * time.Second
	// revisionPollInterval is the interval at which the revisions in force are polled.
	revisionPollInterval = 2 * time.Millisecond
	// acceptStart is the fraction of a run after which the first revision is accepted.
	acceptStart = 0.1
)

func configBurst(o *Options) bench.Experiment {
	return experiment{
		name:    "config-burst",
		summary: "Time until each of many successive revisions, accepted under load, is in force on every gateway.",
		scenarios: func() []*scenario {
			return []*scenario{
				newBurst("store reachable", false).scenario(),
				newBurst("store reachable from one zone only", true).scenario(),
				{name: "without revisions", expectNoFailures: true},
			}
		},
		notes: []string{"A revision is in force on a gateway once its traffic uses that revision or a later one."},
	}.build(o)
}

// burst accepts many revisions and measures how long each takes to be in force on all gateways.
type burst struct {
	name string
	// singleZone disconnects the gateways of all zones except the first from the store, so that the last hop of a
	// revision to them does not use the store.
	singleZone bool
	accepted   map[uint64]time.Time
	history    *revisionHistory
	delays     []time.Duration
}

func newBurst(name string, singleZone bool) *burst {
	return &burst{name: name, singleZone: singleZone, accepted: make(map[uint64]time.Time)}
}

func (b *burst) scenario() *scenario {
	return &scenario{name: b.name, expectNoFailures: true, action: b.acceptRevisions, evaluate: b.evaluate}
}

func (b *burst) acceptRevisions(ctx context.Context, r *run) error {
	if b.singleZone {
		r.disconnectStore()
	}
	r.waitUntil(acceptStart)
	watcher := watchRevisions(r.deployment)
	last, err := b.acceptAll(ctx, r)
	if err != nil {
		return err
	}
	b.history = watcher.waitAndStop(last, propagationLimit)
	return nil
}

// disconnectStore disconnects the gateways of all zones except the first from the store.
func (r *run) disconnectStore() {
	for _, host := range r.deployment.Config.Hosts {
		if host.Zone != r.deployment.Config.Zones[0].Name {
			r.deployment.StoreLink(host.Name).SetDown(true)
		}
	}
}

// acceptAll accepts the revisions at equal intervals over the rest of the run and returns the last one.
func (b *burst) acceptAll(ctx context.Context, r *run) (uint64, error) {
	accepter := &accept.Accepter{Store: r.deployment.Store}
	current, err := accepter.Current(ctx, r.deployment.Config.Team)
	if err != nil {
		return 0, err
	}
	startedAt := time.Now()
	interval := time.Until(r.start.Add(r.options.Duration)) / time.Duration(r.options.Revisions)
	for i := range r.options.Revisions {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * interval)))
		request := accept.Request{
			ID: fmt.Sprintf("burst-%d", i), BaseRevision: current.Revision, Config: withRackChanged(current, i), Operator: "plank-bench",
		}
		if current, err = accepter.Accept(ctx, current.Team, request); err != nil {
			return 0, err
		}
		b.accepted[current.Revision] = time.Now()
	}
	r.addNote("accepted %d revisions in %s", r.options.Revisions, time.Since(startedAt).Round(time.Millisecond))
	return current.Revision, nil
}

// withRackChanged returns a copy of the configuration with a changed rack of one host, which moves no keys.
func withRackChanged(c *config.Config, i int) *config.Config {
	next := c.Clone()
	next.Hosts[i%len(next.Hosts)].Rack = fmt.Sprintf("rack-%d", i)
	return next
}

// evaluate adds the times from each accept until the slowest gateway had the revision in force.
func (b *burst) evaluate(r *run) {
	missed := 0
	for revision, acceptedAt := range b.accepted {
		inForceAt, ok := b.history.inForceEverywhere(revision)
		if !ok {
			missed++
			continue
		}
		b.delays = append(b.delays, inForceAt.Sub(acceptedAt))
	}
	slices.Sort(b.delays)
	r.addFigure("revisions accepted", "1", float64(len(b.accepted)))
	r.addFigure("revisions not in force everywhere at the end", "1", float64(missed))
	for _, q := range []float64{0.5, 0.99, 0.999, 1} {
		r.addFigure(quantileName(q), "ms", millis(quantileOf(b.delays, q)))
	}
	exceeded := 0
	for _, delay := range b.delays {
		if delay > propagationLimit {
			exceeded++
		}
	}
	r.addFigure("revisions beyond 7 s", "1", float64(exceeded+missed))
}

func quantileName(q float64) string {
	if q == 1 {
		return "accept to in force everywhere, maximum"
	}
	return fmt.Sprintf("accept to in force everywhere, p%g", 100*q)
}

// quantileOf returns a quantile of a sorted list, with q between 0 and 1, or 0 for an empty list.
func quantileOf(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
