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

// Sizes of one zone at the target size: 10 billion keys and 130 million requests/s over 12 zones with 1,000 servers
// each.
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

// targetExperiment runs the policy on readings of whole partitions, because single keys are too many.
func targetExperiment(name, summary string, event fleetEvent) Experiment {
	return Experiment{
		Name:    name,
		Summary: summary,
		Run: func(seed uint64) (*Report, error) {
			report := &Report{
				Settings: []Setting{
					{"servers", format(targetServers)},
					{"partitions", format(targetPartitions)},
					{"keys", format(math.Round(targetKeys))},
					{"requests per second", format(math.Round(targetRate))},
					{"model time", format(targetSeconds) + " s"},
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
	event   fleetEvent
	in      *assign.Input
	tracker *assign.Tracker
	// keys is the number of keys of each partition.
	keys     []float64
	least    float64
	moved    float64
	moves    int
	expected []float64
	elapsed  time.Duration
	rounds   int
}

func newTargetRun(seed uint64, preference config.Preference, event fleetEvent) *targetRun {
	r := &targetRun{
		random:  rand.New(rand.NewPCG(seed, 4)),
		event:   event,
		in:      &assign.Input{Preference: preference, PartitionCount: targetPartitions, Servers: serversUp(targetServers)},
		tracker: assign.NewTracker(targetPartitions, assign.DefaultSmoothing()),
		keys:    make([]float64, targetPartitions),
	}
	for id := range r.keys {
		r.keys[id] = r.poisson(targetKeys / targetPartitions)
		r.in.Partitions = append(r.in.Partitions, assign.PartitionLoad{ID: keyspace.Partition(id)})
	}
	return r
}

// poisson draws from the normal approximation of a Poisson distribution.
func (r *targetRun) poisson(mean float64) float64 {
	return max(0, mean+math.Sqrt(mean)*r.random.NormFloat64())
}

func (r *targetRun) run() *Measurement {
	for now := time.Duration(0); now < targetSeconds*time.Second; now += stepLength {
		r.observe()
		r.change(now)
		r.round(now)
		if now >= warmupSeconds*time.Second {
			r.expected = append(r.expected, r.imbalance(now))
		}
	}
	expected := quantilesOf(r.expected)
	return &Measurement{
		System:    "plank, " + preferenceName(r.in.Preference),
		Imbalance: &Imbalance{Expected: expected, Above: shareAbove(r.expected, imbalanceUniform), Target: imbalanceUniform},
		Churn:     &Churn{Moved: r.moved, Least: r.least, Moves: r.moves},
		Control:   &ControlCost{RoundMillis: r.elapsed.Seconds() * 1000 / float64(r.rounds), Rounds: r.rounds},
	}
}

func preferenceName(preference config.Preference) string {
	if preference == config.PreferBalance {
		return "imbalance"
	}
	return "unavailable time"
}

// observe counts the requests of one step.
func (r *targetRun) observe() {
	for id, keys := range r.keys {
		requests := keys / targetKeys * targetRate * stepLength.Seconds()
		r.tracker.AddPartition(keyspace.Partition(id), r.poisson(requests))
	}
	r.tracker.Advance(stepLength)
}

// change lets servers join and leave and adds the keys that have to move.
func (r *targetRun) change(now time.Duration) {
	before := slices.Clone(r.in.Servers)
	r.in.Servers = r.event(now, r.in.Servers)
	for i, server := range r.in.Servers {
		if i >= len(before) {
			r.least += 1 / float64(len(r.in.Servers))
			continue
		}
		if before[i].State == assign.Up && server.State != assign.Up {
			r.least += r.owned(server.Name) / targetKeys
		}
	}
}

func (r *targetRun) owned(name string) float64 {
	owned := 0.0
	for id := range r.in.Partitions {
		if r.in.Partitions[id].Owner == name {
			owned += r.keys[id]
		}
	}
	return owned
}

func (r *targetRun) round(now time.Duration) {
	r.in.Now = now
	r.in.LoadError = r.tracker.LoadError()
	for id := range r.in.Partitions {
		r.in.Partitions[id].Load = r.tracker.Load(keyspace.Partition(id))
	}
	started := processorTime()
	result := assign.Policy{}.Next(r.in)
	r.elapsed += processorTime() - started
	r.rounds++
	r.in.UnbalancedSince = result.UnbalancedSince
	for id, owner := range result.Owners {
		r.in.Partitions[id].Owner = owner
	}
	for _, move := range result.Moves {
		if move.Reason != assign.ReasonInitial {
			r.moves++
			r.moved += r.keys[move.Partition] / targetKeys
		}
	}
}

// imbalance returns the maximum over the mean of the keys of the servers that are up.
func (r *targetRun) imbalance(now time.Duration) float64 {
	index := make(map[string]int, len(r.in.Servers))
	apart := make([]bool, len(r.in.Servers))
	for i := range r.in.Servers {
		index[r.in.Servers[i].Name] = i
		apart[i] = now-r.in.Servers[i].ColdSince < rampTime
	}
	loads := make([]float64, len(r.in.Servers))
	for id := range r.in.Partitions {
		loads[index[r.in.Partitions[id].Owner]] += r.keys[id]
	}
	return maxOverMean(loads, apart, eligibleServers(r.in.Servers))
}
