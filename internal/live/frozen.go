package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/bench"
	"github.com/sapphireplank/sapphireplank/internal/dev"
)

// freezeLength is the time for which a backend server is frozen.
const freezeLength = 5 * time.Second

func frozenServer(o *Options) bench.Experiment {
	return experiment{
		name:    "frozen-server",
		summary: "A backend server freezes and resumes after 5 s as if nothing had happened.",
		scenarios: func() []*scenario {
			f := new(freeze)
			return []*scenario{{name: "server frozen for 5 s", act: f.act, evaluate: f.evaluate}, undisturbed()}
		},
	}.build(o)
}

// freeze is one freeze of a backend server.
type freeze struct {
	server       string
	from, thawed time.Time
}

func (f *freeze) act(_ context.Context, r *run) error {
	r.at(0.2)
	f.server = r.keyedService().Servers[0].Name
	r.deployment.Backend(f.server).Freeze()
	f.from = time.Now()
	time.Sleep(freezeLength)
	r.deployment.Backend(f.server).Thaw()
	f.thawed = time.Now()
	r.note("froze %s after %s", f.server, f.from.Sub(r.start).Round(time.Millisecond))
	return nil
}

// evaluate counts executions that began on the frozen server after its grant had passed to another server, and
// requests that ran twice.
func (f *freeze) evaluate(r *run) {
	executions := r.deployment.Executions.All()
	runs := make(map[string]int)
	passed := make(map[string]dev.Execution)
	for _, e := range executions {
		runs[e.Identity]++
		known, ok := passed[e.Key]
		if e.Service == r.keyedService().Name && e.Server != f.server && (!ok || known.Token.Less(e.Token)) && e.Start.Before(f.thawed) {
			passed[e.Key] = e
		}
	}
	late, resumed, twice, inProgress := 0, 0, 0, 0
	for _, e := range executions {
		if e.Server == f.server && e.Start.Before(f.from) && !e.End.Before(f.thawed) {
			inProgress++
		}
		if e.Server != f.server || e.Start.Before(f.thawed) {
			continue
		}
		resumed++
		if other, ok := passed[e.Key]; ok && e.Token.Less(other.Token) {
			late++
		}
	}
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	refused := 0
	for _, n := range r.deployment.Backend(f.server).Counters().Refused {
		refused += n
	}
	r.figure("executions in progress at the freeze, given up at the thaw", "1", float64(inProgress))
	r.figure("executions of the frozen server after its thaw", "1", float64(resumed))
	r.figure("executions after another server had the key", "1", float64(late))
	r.figure("identities executed more than once", "1", float64(twice))
	r.figure("requests that the frozen server refused", "1", float64(refused))
}
