package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

const freezeDuration = 5 * time.Second

func frozenServer(o *Options) bench.Experiment {
	return experiment{
		name:    "frozen-server",
		summary: "A backend server freezes for 5 s and resumes with its former state.",
		scenarios: func() []*scenario {
			f := new(freeze)
			return []*scenario{{name: "server frozen for 5 s", action: f.inject, evaluate: f.evaluate}, faultFree()}
		},
	}.build(o)
}

// freeze is the temporary freeze of one backend server.
type freeze struct {
	server             string
	frozenAt, thawedAt time.Time
}

func (f *freeze) inject(_ context.Context, r *run) error {
	r.waitUntil(0.2)
	f.server = r.keyedService().Servers[0].Name
	r.deployment.Backend(f.server).Freeze()
	f.frozenAt = time.Now()
	time.Sleep(freezeDuration)
	r.deployment.Backend(f.server).Thaw()
	f.thawedAt = time.Now()
	r.addNote("froze backend server %s after %s", f.server, f.frozenAt.Sub(r.start).Round(time.Millisecond))
	return nil
}

// evaluate counts executions that started on the frozen server after its grant had passed to another server, and
// requests that were executed more than once.
func (f *freeze) evaluate(r *run) {
	executions := r.deployment.Executions.All()
	executionCounts := make(map[string]int)
	newOwners := make(map[string]dev.Execution)
	for _, e := range executions {
		executionCounts[e.Identity]++
		latest, ok := newOwners[e.Key]
		if e.Service == r.keyedService().Name && e.Server != f.server && (!ok || latest.Token.Less(e.Token)) && e.Start.Before(f.thawedAt) {
			newOwners[e.Key] = e
		}
	}
	stale, resumed, repeated, inProgress := 0, 0, 0, 0
	for _, e := range executions {
		if e.Server == f.server && e.Start.Before(f.frozenAt) && !e.End.Before(f.thawedAt) {
			inProgress++
		}
		if e.Server != f.server || e.Start.Before(f.thawedAt) {
			continue
		}
		resumed++
		if other, ok := newOwners[e.Key]; ok && e.Token.Less(other.Token) {
			stale++
		}
	}
	for _, n := range executionCounts {
		if n > 1 {
			repeated++
		}
	}
	refused := 0
	for _, n := range r.deployment.Backend(f.server).Counters().Refused {
		refused += n
	}
	r.addFigure("executions in progress at the freeze, given up at the thaw", "1", float64(inProgress))
	r.addFigure("executions of the frozen server after its thaw", "1", float64(resumed))
	r.addFigure("executions after another server had the key", "1", float64(stale))
	r.addFigure("identities executed more than once", "1", float64(repeated))
	r.addFigure("requests that the frozen server refused", "1", float64(refused))
}
