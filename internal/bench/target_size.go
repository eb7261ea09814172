package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Sizes of one availability zone at the target size of the system: 10 billion keys and 130 million requests/s over 12
// zones with 1,000 servers each.
const (
	targetServers    = 1000
	targetPartitions = 65536
	targetKeys       = 10e9 / 12
	targetRate       = 130e6 / 12
	targetSeconds    = 180
)

func joinTargetExperiment() Experiment {
	return targetExperiment("join-target", "A cold server joins a zone of the target size, with uniform keys.", joinEvent)
}

func leaveTargetExperiment() Experiment {
	return targetExperiment("leave-target", "A server leaves a zone of the target size, with uniform keys.", leaveEvent)
}

// targetExperiment runs the policy on the loads of whole partitions, because there are too many keys to model each one.
func targetExperiment(name, summary string, event membershipEvent) Experiment {
	return Experiment{
		Name:    name,
		Summary: summary,
		Run: func(seed uint64) (*Report, error) {
			report := &Report{
				Settings: []Setting{
					{"servers", formatNumber(targetServers)},
					{"partitions", formatNumber(targetPartitions)},
					{"keys", formatNumber(math.Round(targetKeys))},
					{"requests per second", formatNumber(math.Round(targetRate))},
					{"model time", formatNumber(targetSeconds) + " s"},
				},
				Notes: append(modelNotes()[:3:3], "Requests are drawn for each partition from a normal distribution with the variance of a Poisson one. The time of a "+
					"round is processor time."),
			}
			for _, preference := range []config.Preference{config.PreferBalance, config.PreferAvailability} {
				report.Measurements = append(report.Measurements, newTargetRun(seed, preference, event).run())
			}
			return report, nil
		},
	}
}

// targetRun is one run of the policy at the target size.
type targetRun struct {
	random  *rand.Rand
	event   membershipEvent
	input   *assign.Input
	tracker *assign.Tracker
	// keys holds the number of keys of each partition.
	keys []float64
	// minMoved is the minimum share of the keys that the changes of the servers force to move.
	minMoved   float64
	movedShare float64
	moves      int
	imbalances []float64
	cpuTime    time.Duration
	rounds     int
}

func newTargetRun(seed uint64, preference config.Preference, event membershipEvent) *targetRun {
	r := &targetRun{
		random:  rand.New(rand.NewPCG(seed, 4)),
		event:   event,
		input:   &assign.Input{Preference: preference, PartitionCount: targetPartitions, Servers: serversUp(targetServers)},
		tracker: assign.NewTracker(targetPartitions, assign.DefaultSmoothing()),
		keys:    make([]float64, targetPartitions),
	}
	for id := range r.keys {
		r.keys[id] = r.poisson(targetKeys / targetPartitions)
		r.input.Partitions = append(r.input.Partitions, assign.PartitionLoad{ID: keyspace.Partition(id)})
	}
	return r
}

// poisson draws from the normal approximation to a Poisson distribution.
func (r *targetRun) poisson(mean float64) float64 {
	return max(0, mean+math.Sqrt(mean)*r.random.NormFloat64())
}

func (r *targetRun) run() *Measurement {
	for now := time.Duration(0); now < targetSeconds*time.Second; now += roundInterval {
		r.sampleRequests()
		r.applyEvent(now)
		r.runRound(now)
		if now >= warmupSeconds*time.Second {
			r.imbalances = append(r.imbalances, r.currentImbalance(now))
		}
	}
	expected := quantilesOf(r.imbalances)
	return &Measurement{
		System:      "plank, " + preferenceName(r.input.Preference),
		Imbalance:   &Imbalance{Expected: expected, AboveTarget: shareAbove(r.imbalances, uniformImbalanceTarget), Target: uniformImbalanceTarget},
		Churn:       &Churn{Moved: r.movedShare, MinMoved: r.minMoved, Moves: r.moves},
		ControlCost: &ControlCost{RoundMillis: r.cpuTime.Seconds() * 1000 / float64(r.rounds), Rounds: r.rounds},
	}
}

func preferenceName(preference config.Preference) string {
	if preference == config.PreferBalance {
		return "imbalance"
	}
	return "unavailable time"
}

// sampleRequests draws the number of requests for each partition in one round interval and records them.
func (r *targetRun) sampleRequests() {
	for id, keys := range r.keys {
		requests := keys / targetKeys * targetRate * roundInterval.Seconds()
		r.tracker.AddPartition(keyspace.Partition(id), r.poisson(requests))
	}
	r.tracker.Advance(roundInterval)
}

// applyEvent changes the set of servers and adds the share of the keys that the change forces to move.
func (r *targetRun) applyEvent(now time.Duration) {
	before := slices.Clone(r.input.Servers)
	r.input.Servers = r.event(now, r.input.Servers)
	for i, server := range r.input.Servers {
		if i >= len(before) {
			r.minMoved += 1 / float64(len(r.input.Servers))
			continue
		}
		if before[i].State == assign.Up && server.State != assign.Up {
			r.minMoved += r.ownedKeys(server.Name) / targetKeys
		}
	}
}

// ownedKeys returns the number of keys that the named server owns.
func (r *targetRun) ownedKeys(name string) float64 {
	owned := 0.0
	for id := range r.input.Partitions {
		if r.input.Partitions[id].Owner == name {
			owned += r.keys[id]
		}
	}
	return owned
}

// runRound runs one assignment round of the policy and applies its result.
func (r *targetRun) runRound(now time.Duration) {
	r.input.Now = now
	r.input.LoadError = r.tracker.LoadError()
	for id := range r.input.Partitions {
		r.input.Partitions[id].Load = r.tracker.Load(keyspace.Partition(id))
	}
	started := cpuTime()
	result := assign.Policy{}.Next(r.input)
	r.cpuTime += cpuTime() - started
	r.rounds++
	r.input.UnbalancedSince = result.UnbalancedSince
	for id, owner := range result.Owners {
		r.input.Partitions[id].Owner = owner
	}
	for _, move := range result.Moves {
		if move.Reason != assign.ReasonInitial {
			r.moves++
			r.movedShare += r.keys[move.Partition] / targetKeys
		}
	}
}

// currentImbalance returns the maximum over the mean of the number of keys across the servers that are up.
func (r *targetRun) currentImbalance(now time.Duration) float64 {
	index := make(map[string]int, len(r.input.Servers))
	excluded := make([]bool, len(r.input.Servers))
	for i := range r.input.Servers {
		index[r.input.Servers[i].Name] = i
		excluded[i] = now-r.input.Servers[i].ColdSince < rampDuration
	}
	loads := make([]float64, len(r.input.Servers))
	for id := range r.input.Partitions {
		loads[index[r.input.Partitions[id].Owner]] += r.keys[id]
	}
	return maxOverMean(loads, excluded, eligibleServers(r.input.Servers))
}
