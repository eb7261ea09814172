package bench

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

// rampDuration is the time after which a cold server is included in the mean load.
const rampDuration = 30 * time.Second

// imbalanceMeter samples the maximum over the mean of the load across the servers that are up, once per second of
// model time.
//
// An oversized key, whose rate exceeds the mean load of a server, needs a server of its own under every assignment. Its
// load is therefore left out. The mean excludes the servers that own oversized keys, but the maximum includes the rest
// of their load. Likewise, the mean includes a cold server only after its ramp, but the maximum always does. Keys are
// tested from the hottest on, each against the mean of the load that remains without the oversized keys before it.
type imbalanceMeter struct {
	workload *workload
	// keyCounts holds the requests of each key in the current second.
	keyCounts []int32
	// counted and expected are the imbalances by counted requests and by offered rate. seconds holds the times of these
	// samples.
	counted  []float64
	expected []float64
	seconds  []int
	shares   []float64
	// maxOversizedKeys is the greatest number of oversized keys in one sample.
	maxOversizedKeys int
}

func newImbalanceMeter(workload *workload) *imbalanceMeter {
	return &imbalanceMeter{workload: workload, keyCounts: make([]int32, len(workload.names))}
}

func (m *imbalanceMeter) recordRequest(key int32) {
	m.keyCounts[key]++
}

// sample records the imbalance of one second. It recomputes the expected shares only if changed is true or the number
// of servers differs.
func (m *imbalanceMeter) sample(second int, r router, servers []assign.Server, counts []float64, changed bool) {
	eligible := eligibleServers(servers)
	oversized := m.oversizedKeys(len(eligible))
	m.maxOversizedKeys = max(m.maxOversizedKeys, oversized)
	if changed || len(m.shares) != len(servers) {
		m.computeShares(r, len(servers))
	}
	loads := append([]float64(nil), counts...)
	shares := append([]float64(nil), m.shares...)
	excluded := make([]bool, len(servers))
	for i := range servers {
		excluded[i] = time.Duration(second)*time.Second-servers[i].ColdSince < rampDuration
	}
	for rank := range oversized {
		key := m.workload.keyOfRank[rank]
		owner := r.ownerOf(key)
		excluded[owner] = true
		loads[owner] -= float64(m.keyCounts[key])
		shares[owner] -= m.workload.popularity[rank]
	}
	m.counted = append(m.counted, maxOverMean(loads, excluded, eligible))
	m.expected = append(m.expected, maxOverMean(shares, excluded, eligible))
	m.seconds = append(m.seconds, second)
}

// startSecond resets the request counts for the next second.
func (m *imbalanceMeter) startSecond() {
	clear(m.keyCounts)
}

// oversizedKeys returns the number of oversized keys, which are the hottest ranks.
func (m *imbalanceMeter) oversizedKeys(servers int) int {
	remaining := 1.0
	for rank, popularity := range m.workload.popularity {
		if rank == servers-1 || popularity <= remaining/float64(servers-rank) {
			return rank
		}
		remaining -= popularity
	}
	return 0
}

// computeShares computes the expected share of the requests for each server.
func (m *imbalanceMeter) computeShares(r router, servers int) {
	m.shares = make([]float64, servers)
	for rank, key := range m.workload.keyOfRank {
		m.shares[r.ownerOf(key)] += m.workload.popularity[rank]
	}
}

// maxOverMean returns the maximum load of the eligible servers over the mean load of those that are not excluded.
func maxOverMean(loads []float64, excluded []bool, eligible []int) float64 {
	sum, servers, maxLoad := 0.0, 0, 0.0
	for _, server := range eligible {
		maxLoad = max(maxLoad, loads[server])
		if !excluded[server] {
			sum += loads[server]
			servers++
		}
	}
	if servers == 0 || sum == 0 {
		return 0
	}
	return maxLoad * float64(servers) / sum
}

// figures returns the number of oversized keys and, for a run with a target and shifts, the time after a shift until
// the expected imbalance stays within the target.
func (m *imbalanceMeter) figures(target float64, shiftSeconds int) []Figure {
	figures := []Figure{{Name: "named keys hotter than a server", Unit: "keys", Value: float64(m.maxOversizedKeys)}}
	if shiftSeconds == 0 || target == 0 {
		return figures
	}
	secondsAbove := make(map[int]int)
	for i, second := range m.seconds {
		if m.expected[i] > target {
			secondsAbove[second/shiftSeconds] = second%shiftSeconds + 1
		}
	}
	sum, worst := 0.0, 0
	for _, seconds := range secondsAbove {
		sum += float64(seconds)
		worst = max(worst, seconds)
	}
	periods := float64(m.seconds[len(m.seconds)-1]/shiftSeconds - m.seconds[0]/shiftSeconds + 1)
	return append(figures,
		Figure{Name: "time above the target after a shift, mean", Unit: "s", Value: sum / periods},
		Figure{Name: "time above the target after a shift, worst", Unit: "s", Value: float64(worst)},
	)
}

// chartLine returns the expected imbalance over time as a line of a chart.
func (m *imbalanceMeter) chartLine(name string) Line {
	line := Line{Name: name}
	for i, second := range m.seconds {
		line.Points = append(line.Points, Point{X: float64(second), Y: m.expected[i]})
	}
	return line
}
