package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/assign"
)

const (
	// roundsPerSecond is the number of assignment rounds per second of model time.
	roundsPerSecond = 2
	roundInterval   = time.Second / roundsPerSecond
	// plannedMoveUnavailableMillis is the time without an owner in a move between live servers: half a mean run time
	// and six messages of 0.25 ms (release, record on the successor and its reply, assignment, grant and its reply).
	plannedMoveUnavailableMillis = 2.0
	// serverLossUnavailableMillis is the time without an owner after the loss of a server: the validity of the last
	// grant (600 ms), the clock skew (50 ms) and half a round interval.
	serverLossUnavailableMillis = 900.0
	// warmupSeconds is the model time before the measurement starts.
	warmupSeconds = 30
)

// modelConfig holds the parameters of a model run.
type modelConfig struct {
	seed       uint64
	servers    int
	keys       int
	partitions int
	// exponent is the exponent of the Zipf distribution of key popularity, or 0 for equal popularity.
	exponent float64
	// shiftSeconds is the time between shifts, each of which replaces the shiftedKeys hottest keys; 0 for no shifts.
	shiftSeconds int
	shiftedKeys  int
	seconds      int
	// rate is the number of requests per second for each of the initial servers.
	rate int
	// slots is the number of slots of each server, and utilization the mean share of them in use.
	slots           int
	utilization     float64
	imbalanceTarget float64
	// event changes the set of servers before each round. nil leaves it unchanged.
	event membershipEvent
}

// settings returns the parameters for the report.
func (c *modelConfig) settings() []Setting {
	return []Setting{
		{"servers", formatNumber(float64(c.servers))},
		{"keys", formatNumber(float64(c.keys))},
		{"partitions", formatNumber(float64(c.partitions))},
		{"Zipf exponent (0: uniform)", formatNumber(c.exponent)},
		{"change of the hottest keys", formatNumber(float64(c.shiftedKeys)) + " keys every " + formatNumber(float64(c.shiftSeconds)) + " s"},
		{"model time", formatNumber(float64(c.seconds)) + " s, measured after " + formatNumber(warmupSeconds) + " s"},
		{"requests per second and server", formatNumber(float64(c.rate))},
		{"slots per server", formatNumber(float64(c.slots))},
		{"mean utilization of slots", formatNumber(c.utilization)},
		{"round interval", roundInterval.String()},
	}
}

// modelRun is the state of a model run with one system.
type modelRun struct {
	config      modelConfig
	workload    *workload
	router      router
	runTimeRand *rand.Rand
	servers     []assign.Server
	queues      []*slotQueue
	// requestCounts holds the requests of each server in the current second.
	requestCounts  []float64
	imbalance      *imbalanceMeter
	unavailability *unavailabilityMeter
	latency        latencyHistogram
	runTime        latencyHistogram
	requests       int
	refused        int
	moveTotals     moveCounts
	// minMoved is the minimum share of the keys that the changes of the servers force to move.
	minMoved  float64
	roundTime time.Duration
	rounds    int
	// sharesChanged is true if key popularity or owners changed since the last sample of the imbalance.
	sharesChanged bool
}

// runModel runs the model with one system. Runs with equal configurations send the same requests to every system.
func runModel(config modelConfig, newRouter func(*workload) router) *modelRun {
	workload := newWorkload(rand.New(rand.NewPCG(config.seed, 1)), config.keys, config.partitions, config.exponent)
	m := &modelRun{
		config:        config,
		workload:      workload,
		router:        newRouter(workload),
		runTimeRand:   rand.New(rand.NewPCG(config.seed, 2)),
		latency:       newLatencyHistogram(),
		runTime:       newLatencyHistogram(),
		sharesChanged: true,
	}
	m.imbalance = newImbalanceMeter(workload)
	m.unavailability = newUnavailabilityMeter(len(workload.names))
	m.servers = serversUp(config.servers)
	for second := range config.seconds {
		m.runSecond(second)
	}
	return m
}

// serversUp returns servers that are up and warm.
func serversUp(count int) []assign.Server {
	servers := make([]assign.Server, count)
	for i := range servers {
		servers[i] = assign.Server{Name: serverName(i), State: assign.Up, ColdSince: assign.Warm}
	}
	return servers
}

// runSecond runs one second of model time.
func (m *modelRun) runSecond(second int) {
	if m.config.shiftSeconds > 0 && second > 0 && second%m.config.shiftSeconds == 0 {
		m.workload.shiftHotKeys(m.config.shiftedKeys)
		m.sharesChanged = true
	}
	for round := range roundsPerSecond {
		at := time.Duration(second)*time.Second + time.Duration(round)*roundInterval
		m.runRound(at, second >= warmupSeconds)
		m.sendRequests(at, second >= warmupSeconds)
	}
	if second >= warmupSeconds {
		m.imbalance.sample(second, m.router, m.servers, m.requestCounts, m.sharesChanged)
		m.sharesChanged = false
	}
	clear(m.requestCounts)
	m.imbalance.startSecond()
	if second == warmupSeconds-1 {
		m.unavailability.recordOwners(m.router)
	}
}

// runRound applies the event to the servers and runs one assignment round of the system.
func (m *modelRun) runRound(at time.Duration, measured bool) {
	if m.config.event != nil {
		before := slices.Clone(m.servers)
		m.servers = m.config.event(at, m.servers)
		m.addMinMoved(before)
	}
	for len(m.queues) < len(m.servers) {
		m.queues = append(m.queues, newSlotQueue(m.config.slots))
		m.requestCounts = append(m.requestCounts, 0)
	}
	started := time.Now()
	moved := m.router.assignOwners(at, m.servers)
	m.roundTime += time.Since(started)
	m.rounds++
	if moved.moves > 0 {
		m.sharesChanged = true
	}
	if measured {
		m.moveTotals.moves += moved.moves
		m.moveTotals.keys += moved.keys
		m.moveTotals.lostKeys += moved.lostKeys
		if moved.moves > 0 {
			m.unavailability.recordMoves(m.router, m.servers)
		}
	}
}

// addMinMoved adds the share of the keys that a change of the servers forces to move: all keys of a server that leaves,
// and an equal share for a server that joins.
func (m *modelRun) addMinMoved(before []assign.Server) {
	for i := range m.servers {
		if i >= len(before) {
			m.minMoved += 1 / float64(len(eligibleServers(m.servers)))
			continue
		}
		if before[i].State != assign.Up || m.servers[i].State == assign.Up {
			continue
		}
		for key := range m.workload.names {
			if m.router.ownerOf(int32(key)) == int32(i) {
				m.minMoved += 1 / float64(m.config.keys)
			}
		}
	}
}

// sendRequests sends the requests of one round interval at equal distances in time.
func (m *modelRun) sendRequests(at time.Duration, measured bool) {
	count := m.config.servers * m.config.rate / roundsPerSecond
	meanRunTime := m.config.utilization * float64(m.config.slots) / float64(m.config.rate)
	interval := roundInterval.Seconds() / float64(count)
	for i := range count {
		key := m.workload.drawKey()
		owner := m.router.ownerOf(key)
		m.router.recordRequest(key)
		m.requestCounts[owner]++
		m.imbalance.recordRequest(key)
		runTime := m.runTimeRand.ExpFloat64() * meanRunTime
		responseTime, ok := m.queues[owner].serve(at.Seconds()+float64(i)*interval, runTime)
		if !measured {
			continue
		}
		m.requests++
		if !ok {
			m.refused++
			continue
		}
		m.latency.record(responseTime)
		m.runTime.record(runTime)
	}
}

// measurement summarizes the run.
func (m *modelRun) measurement() *Measurement {
	churn := &Churn{Moved: float64(m.moveTotals.keys) / float64(m.config.keys), MinMoved: m.minMoved, Moves: m.moveTotals.moves}
	return &Measurement{
		System: m.router.name(),
		Imbalance: &Imbalance{
			Counted:     quantilesOf(m.imbalance.counted),
			Expected:    quantilesOf(m.imbalance.expected),
			AboveTarget: shareAbove(m.imbalance.expected, m.config.imbalanceTarget),
			Target:      m.config.imbalanceTarget,
		},
		Churn:          churn,
		Unavailability: m.unavailability.unavailable(),
		Latency: &Latency{
			P50:        m.latency.quantileMillis(50),
			P99:        m.latency.quantileMillis(99),
			P999:       m.latency.quantileMillis(99.9),
			RunTimeP99: m.runTime.quantileMillis(99),
			Refused:    float64(m.refused) / float64(max(1, m.requests)),
		},
		ControlCost: &ControlCost{RoundMillis: m.roundTime.Seconds() * 1000 / float64(m.rounds), Rounds: m.rounds},
		Figures:     m.imbalance.figures(m.config.imbalanceTarget, m.config.shiftSeconds),
	}
}
