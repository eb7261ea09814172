package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

const (
	// stepsPerSecond is the number of rounds of assignment in a second.
	stepsPerSecond = 2
	stepLength     = time.Second / stepsPerSecond
	// plannedGapMillis is the time without an owner in a move between live servers: half a mean execution and six
	// messages of 0.25 ms (release, record on the successor and its answer, assignment, grant and its answer).
	plannedGapMillis = 2.0
	// lostGapMillis is the time without an owner after the loss of a server: the last grant (600 ms), the clock skew
	// (50 ms) and half a round.
	lostGapMillis = 900.0
	// warmupSeconds is the time after which the measurement starts.
	warmupSeconds = 30
)

// modelConfig are the sizes of a model run.
type modelConfig struct {
	seed       uint64
	servers    int
	keys       int
	partitions int
	// exponent is the exponent of the Zipf distribution of the keys, or 0 for equal popularity.
	exponent float64
	// shiftSeconds is the time between changes of the hottest keys, or 0.
	shiftSeconds int
	hottest      int
	seconds      int
	// rate is the number of requests per second and server.
	rate int
	// slots is the number of slots per server, and utilization the share of them in use on average.
	slots       int
	utilization float64
	target      float64
	// event changes the servers before each round. nil means that they do not change.
	event fleetEvent
}

// settings returns the sizes for a report.
func (c *modelConfig) settings() []Setting {
	return []Setting{
		{"servers", format(float64(c.servers))},
		{"keys", format(float64(c.keys))},
		{"partitions", format(float64(c.partitions))},
		{"Zipf exponent (0: uniform)", format(c.exponent)},
		{"change of the hottest keys", format(float64(c.hottest)) + " keys every " + format(float64(c.shiftSeconds)) + " s"},
		{"model time", format(float64(c.seconds)) + " s, measured after " + format(warmupSeconds) + " s"},
		{"requests per second and server", format(float64(c.rate))},
		{"slots per server", format(float64(c.slots))},
		{"mean utilization of slots", format(c.utilization)},
		{"round interval", stepLength.String()},
	}
}

// modelRun is one run of one system.
type modelRun struct {
	config   modelConfig
	work     *workload
	router   router
	services *rand.Rand
	servers  []assign.Server
	queues   []*slotQueue
	// counts holds the requests of each server in this second.
	counts   []float64
	meter    *imbalanceMeter
	gaps     *gapMeter
	latency  latencyHistogram
	service  latencyHistogram
	requests int
	refused  int
	moved    movement
	// least is the share of the keys that had to move.
	least     float64
	roundTime time.Duration
	rounds    int
	// changed is true if rates or owners changed since the last reading of the imbalance.
	changed bool
}

// runModel runs one system. The same configuration offers the same requests to every system.
func runModel(config modelConfig, build func(*workload) router) *modelRun {
	work := newWorkload(rand.New(rand.NewPCG(config.seed, 1)), config.keys, config.partitions, config.exponent)
	m := &modelRun{
		config:   config,
		work:     work,
		router:   build(work),
		services: rand.New(rand.NewPCG(config.seed, 2)),
		latency:  newLatencyHistogram(),
		service:  newLatencyHistogram(),
		changed:  true,
	}
	m.meter = newImbalanceMeter(work)
	m.gaps = newGapMeter(len(work.names))
	m.servers = serversUp(config.servers)
	for second := range config.seconds {
		m.second(second)
	}
	return m
}

// serversUp returns warm servers.
func serversUp(count int) []assign.Server {
	servers := make([]assign.Server, count)
	for i := range servers {
		servers[i] = assign.Server{Name: serverName(i), State: assign.Up, ColdSince: assign.Warm}
	}
	return servers
}

// second runs one second of model time.
func (m *modelRun) second(second int) {
	if m.config.shiftSeconds > 0 && second > 0 && second%m.config.shiftSeconds == 0 {
		m.work.shift(m.config.hottest)
		m.changed = true
	}
	for step := range stepsPerSecond {
		at := time.Duration(second)*time.Second + time.Duration(step)*stepLength
		m.round(at, second >= warmupSeconds)
		m.offer(at, second >= warmupSeconds)
	}
	if second >= warmupSeconds {
		m.meter.measure(second, m.router, m.servers, m.counts, m.changed)
		m.changed = false
	}
	clear(m.counts)
	m.meter.clear()
	if second == warmupSeconds-1 {
		m.gaps.snapshot(m.router)
	}
}

// round lets the system decide the owners.
func (m *modelRun) round(at time.Duration, measured bool) {
	if m.config.event != nil {
		before := slices.Clone(m.servers)
		m.servers = m.config.event(at, m.servers)
		m.addLeast(before)
	}
	for len(m.queues) < len(m.servers) {
		m.queues = append(m.queues, newSlotQueue(m.config.slots))
		m.counts = append(m.counts, 0)
	}
	started := time.Now()
	moved := m.router.round(at, m.servers)
	m.roundTime += time.Since(started)
	m.rounds++
	if moved.moves > 0 {
		m.changed = true
	}
	if measured {
		m.moved.moves += moved.moves
		m.moved.keys += moved.keys
		m.moved.lost += moved.lost
		if moved.moves > 0 {
			m.gaps.compare(m.router, m.servers)
		}
	}
}

// addLeast adds the keys that a change of the servers forces to move: all of a server that leaves, and the share of
// one that joins.
func (m *modelRun) addLeast(before []assign.Server) {
	for i := range m.servers {
		if i >= len(before) {
			m.least += 1 / float64(len(eligibleServers(m.servers)))
			continue
		}
		if before[i].State != assign.Up || m.servers[i].State == assign.Up {
			continue
		}
		for key := range m.work.names {
			if m.router.ownerOf(int32(key)) == int32(i) {
				m.least += 1 / float64(m.config.keys)
			}
		}
	}
}

// offer sends the requests of one step.
func (m *modelRun) offer(at time.Duration, measured bool) {
	count := m.config.servers * m.config.rate / stepsPerSecond
	mean := m.config.utilization * float64(m.config.slots) / float64(m.config.rate)
	gap := stepLength.Seconds() / float64(count)
	for i := range count {
		key := m.work.draw()
		owner := m.router.ownerOf(key)
		m.router.observe(key)
		m.counts[owner]++
		m.meter.count(key)
		service := m.services.ExpFloat64() * mean
		response, ok := m.queues[owner].serve(at.Seconds()+float64(i)*gap, service)
		if !measured {
			continue
		}
		m.requests++
		if !ok {
			m.refused++
			continue
		}
		m.latency.add(response)
		m.service.add(service)
	}
}

// measurement returns the results of the run.
func (m *modelRun) measurement() *Measurement {
	churn := &Churn{Moved: float64(m.moved.keys) / float64(m.config.keys), Least: m.least, Moves: m.moved.moves}
	return &Measurement{
		System: m.router.name(),
		Imbalance: &Imbalance{
			Counted:  quantilesOf(m.meter.counted),
			Expected: quantilesOf(m.meter.expected),
			Above:    shareAbove(m.meter.expected, m.config.target),
			Target:   m.config.target,
		},
		Churn:       churn,
		Unavailable: m.gaps.unavailable(),
		Latency: &Latency{
			P50:        m.latency.millis(50),
			P99:        m.latency.millis(99),
			P999:       m.latency.millis(99.9),
			ServiceP99: m.service.millis(99),
			Refused:    float64(m.refused) / float64(max(1, m.requests)),
		},
		Control: &ControlCost{RoundMillis: m.roundTime.Seconds() * 1000 / float64(m.rounds), Rounds: m.rounds},
		Figures: m.meter.figures(m.config.target, m.config.shiftSeconds),
	}
}
