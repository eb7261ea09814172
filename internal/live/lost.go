package live

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

const (
	// lossAt is the part of a run after which the loss happens.
	lossAt = 0.4
	// stopTimeout bounds the planned stop of one gateway.
	stopTimeout = 15 * time.Second
	// stopLength is the announced length of the stop of a backend server.
	stopLength = 10 * time.Minute
)

var errNoHolder = errors.New("no cell has a holder that is also a home; repeat the run with another seed")

func undisturbed() *scenario { return &scenario{name: "without the failure", calm: true} }

func lostServer(o *Options) bench.Experiment {
	return experiment{
		name:    "lost-server",
		summary: "A backend server freezes for good.",
		scenarios: func() []*scenario {
			return []*scenario{{name: "server frozen", act: freezeServer}, undisturbed()}
		},
	}.build(o)
}

// freezeServer freezes the first server of the service that is divided by key.
func freezeServer(_ context.Context, r *run) error {
	r.at(lossAt)
	r.lost = r.keyedService().Servers[0].Name
	r.deployment.Backend(r.lost).Freeze()
	r.note("froze %s after %s", r.lost, time.Since(r.start).Round(time.Millisecond))
	return nil
}

func lostGateway(o *Options) bench.Experiment {
	return experiment{
		name:    "lost-gateway",
		summary: "A gateway that is holder and home ends as in a crash.",
		scenarios: func() []*scenario {
			return []*scenario{{name: "gateway lost", act: killHolder, evaluate: lossOutcomes}, undisturbed()}
		},
	}.build(o)
}

// killHolder ends a holder that is also a home.
func killHolder(_ context.Context, r *run) error {
	r.at(lossAt)
	host := r.holderWithHomes()
	if host == "" {
		return errNoHolder
	}
	homes := r.homesOf(host)
	r.deployment.KillGateway(host)
	r.note("killed %s, home of %d backend servers, after %s", host, homes, time.Since(r.start).Round(time.Millisecond))
	return nil
}

// lossOutcomes counts requests that were not answered by the service.
func lossOutcomes(r *run) {
	for _, s := range r.deployment.Config.Services {
		failed := 0
		for _, record := range r.deployment.Ledger.All() {
			if record.Service == s.Name && record.Result != dev.ResultAnswered {
				failed++
			}
		}
		r.figure("requests to "+s.Name+" without an answer", "1", float64(failed))
	}
}

func plannedStop(o *Options) bench.Experiment {
	return experiment{
		name:    "planned-stop",
		summary: "Planned stops of a holder and of a backend server under load.",
		scenarios: func() []*scenario {
			return []*scenario{
				{name: "planned stops", calm: true, act: stopAsPlanned},
				{name: "without the stops", calm: true},
			}
		},
	}.build(o)
}

// stopAsPlanned announces the stop of a backend server and stops the holder of the first cell.
func stopAsPlanned(ctx context.Context, r *run) error {
	r.at(0.1)
	r.lost = r.keyedService().Servers[0].Name
	r.leaves = append(r.leaves, dev.LeaveCheck{Server: r.lost, At: time.Now()})
	if err := r.deployment.AnnounceStop(ctx, r.lost, stopLength); err != nil {
		return err
	}
	r.at(lossAt)
	return r.stopGateway(ctx, r.deployment.HolderOf(r.firstCell()))
}

// stopGateway stops the gateway of a host as planned.
func (r *run) stopGateway(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	started := time.Now()
	holder := r.snapshot(host).Self
	homes := r.homesOf(host)
	r.watcher.ignore(host)
	if err := r.deployment.StopGateway(ctx, host); err != nil {
		r.stopErr = errors.CombineErrors(r.stopErr, errors.Wrapf(err, "stop of %s", host))
	}
	r.note("stopped %s (holder %v, home of %d) after %s in %s", host, holder, homes,
		started.Sub(r.start).Round(time.Millisecond), time.Since(started).Round(time.Millisecond))
	return nil
}
