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
	// inForceBound is the time within which an accepted revision must be in force everywhere.
	inForceBound = 7 * time.Second
	// inForcePoll is the interval at which the revisions in force are read.
	inForcePoll = 2 * time.Millisecond
	// burstStart is the part of a run after which the accepts begin.
	burstStart = 0.1
)

func configBurst(o *Options) bench.Experiment {
	return experiment{
		name:    "config-burst",
		summary: "Many revisions are accepted one after the other under load; time until each is in force on every gateway.",
		scenarios: func() []*scenario {
			return []*scenario{
				newBurst("store reachable", false).scenario(),
				newBurst("store reachable from one zone only", true).scenario(),
				{name: "without revisions", calm: true},
			}
		},
		notes: []string{"A revision is in force on a gateway once its traffic uses that revision or a later one."},
	}.build(o)
}

// burst accepts revisions and follows when they are in force.
type burst struct {
	name string
	// oneZone cuts the gateways of all zones but the first from the store, so that the last hop of a revision does not
	// use the store.
	oneZone  bool
	accepted map[uint64]time.Time
	reached  *reached
	took     []time.Duration
}

func newBurst(name string, oneZone bool) *burst {
	return &burst{name: name, oneZone: oneZone, accepted: make(map[uint64]time.Time)}
}

func (b *burst) scenario() *scenario {
	return &scenario{name: b.name, calm: true, act: b.act, evaluate: b.evaluate}
}

func (b *burst) act(ctx context.Context, r *run) error {
	if b.oneZone {
		r.cutStore()
	}
	r.at(burstStart)
	follow := followRevisions(r.deployment)
	last, err := b.acceptAll(ctx, r)
	if err != nil {
		return err
	}
	b.reached = follow.stopAfter(last, inForceBound)
	return nil
}

// cutStore cuts the gateways of all zones but the first from the store.
func (r *run) cutStore() {
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
	first := time.Now()
	interval := time.Until(r.start.Add(r.options.Duration)) / time.Duration(r.options.Revisions)
	for i := range r.options.Revisions {
		time.Sleep(time.Until(first.Add(time.Duration(i) * interval)))
		request := accept.Request{
			ID: fmt.Sprintf("burst-%d", i), BaseRevision: current.Revision, Config: otherRack(current, i), Operator: "plank-bench",
		}
		if current, err = accepter.Accept(ctx, current.Team, request); err != nil {
			return 0, err
		}
		b.accepted[current.Revision] = time.Now()
	}
	r.note("accepted %d revisions in %s", r.options.Revisions, time.Since(first).Round(time.Millisecond))
	return current.Revision, nil
}

// otherRack returns the configuration with another rack of one host, which moves no key.
func otherRack(c *config.Config, i int) *config.Config {
	next := c.Clone()
	next.Hosts[i%len(next.Hosts)].Rack = fmt.Sprintf("rack-%d", i)
	return next
}

// evaluate computes the time from each accept until the slowest gateway had the revision in force.
func (b *burst) evaluate(r *run) {
	missed := 0
	for revision, at := range b.accepted {
		everywhere, ok := b.reached.everywhere(revision)
		if !ok {
			missed++
			continue
		}
		b.took = append(b.took, everywhere.Sub(at))
	}
	slices.Sort(b.took)
	r.figure("revisions accepted", "1", float64(len(b.accepted)))
	r.figure("revisions not in force everywhere at the end", "1", float64(missed))
	for _, q := range []float64{0.5, 0.99, 0.999, 1} {
		r.figure(quantileName(q), "ms", millis(at(b.took, q)))
	}
	over := 0
	for _, took := range b.took {
		if took > inForceBound {
			over++
		}
	}
	r.figure("revisions beyond 7 s", "1", float64(over+missed))
}

func quantileName(q float64) string {
	if q == 1 {
		return "accept to in force everywhere, maximum"
	}
	return fmt.Sprintf("accept to in force everywhere, p%g", 100*q)
}

// at returns a quantile of a sorted list, or 0.
func at(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
