package live

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

const (
	// faultStart is the fraction of a run after which the fault is injected.
	faultStart = 0.4
	// stopTimeout limits the planned stop of one gateway.
	stopTimeout = 15 * time.Second
	// announcedStopDuration is the duration announced for the stop of a backend server.
	announcedStopDuration = 10 * time.Minute
)

var errNoHolder = errors.New("no cell has a holder that is also a home; repeat the run with another seed")

func faultFree() *scenario { return &scenario{name: "without the failure", expectNoFailures: true} }

func lostServer(o *Options) bench.Experiment {
	return experiment{
		name:    "lost-server",
		summary: "A backend server freezes permanently.",
		scenarios: func() []*scenario {
			return []*scenario{{name: "server frozen", action: freezeServer}, faultFree()}
		},
	}.build(o)
}

// freezeServer permanently freezes the first server of the sharded service.
func freezeServer(_ context.Context, r *run) error {
	r.waitUntil(faultStart)
	r.lostServer = r.keyedService().Servers[0].Name
	r.deployment.Backend(r.lostServer).Freeze()
	r.addNote("froze backend server %s after %s", r.lostServer, time.Since(r.start).Round(time.Millisecond))
	return nil
}

func lostGateway(o *Options) bench.Experiment {
	return experiment{
		name:    "lost-gateway",
		summary: "A gateway that is both holder and home crashes.",
		scenarios: func() []*scenario {
			return []*scenario{{name: "gateway lost", action: killHolder, evaluate: addFailedRequests}, faultFree()}
		},
	}.build(o)
}

// killHolder crashes a gateway that is both a holder and a home.
func killHolder(_ context.Context, r *run) error {
	r.waitUntil(faultStart)
	host := r.holderWithHomes()
	if host == "" {
		return errNoHolder
	}
	homes := r.homeCount(host)
	r.deployment.KillGateway(host)
	r.addNote("killed gateway %s, home of %d backend servers, after %s", host, homes, time.Since(r.start).Round(time.Millisecond))
	return nil
}

// addFailedRequests adds, for each service, the number of requests that its backend servers did not answer.
func addFailedRequests(r *run) {
	for _, s := range r.deployment.Config.Services {
		failed := 0
		for _, record := range r.deployment.Records.All() {
			if record.Service == s.Name && record.Outcome != dev.OutcomeAnswered {
				failed++
			}
		}
		r.addFigure("requests to "+s.Name+" without an answer", "1", float64(failed))
	}
}

func plannedStop(o *Options) bench.Experiment {
	return experiment{
		name:    "planned-stop",
		summary: "Planned stops of a holder and of a backend server under load.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "planned stops", expectNoFailures: true, action: runPlannedStops},
				{name: "without the stops", expectNoFailures: true},
			}
		},
	}.build(o)
}

// runPlannedStops announces the stop of a backend server and later stops the gateway that is the holder of the first
// cell.
func runPlannedStops(ctx context.Context, r *run) error {
	r.waitUntil(0.1)
	r.lostServer = r.keyedService().Servers[0].Name
	r.drains = append(r.drains, dev.Drain{Server: r.lostServer, At: time.Now()})
	if err := r.deployment.AnnounceStop(ctx, r.lostServer, announcedStopDuration); err != nil {
		return err
	}
	r.waitUntil(faultStart)
	return r.stopGateway(ctx, r.deployment.HolderOf(r.firstCell()))
}

// stopGateway performs a planned stop of the gateway of a host. A failure of the stop is kept in stopErr.
func (r *run) stopGateway(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	startedAt := time.Now()
	holder := r.snapshot(host).IsHolder
	homes := r.homeCount(host)
	r.monitor.ignore(host)
	if err := r.deployment.StopGateway(ctx, host); err != nil {
		r.stopErr = errors.CombineErrors(r.stopErr, errors.Wrapf(err, "planned stop of gateway %s", host))
	}
	r.addNote("stopped gateway %s (holder: %v, home of %d backend servers) after %s, which took %s", host, holder, homes,
		startedAt.Sub(r.start).Round(time.Millisecond), time.Since(startedAt).Round(time.Millisecond))
	return nil
}
