package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the simulation: the servers of a service that is not sharded, in four zones, and
// the gateways of three entry hosts in each zone. Each server has a home with one FIFO queue.
const (
	simZones           = 4
	simGateways        = 12
	simMeanServiceTime = 20 * time.Millisecond // mean over lookups and bookings
	simLookupTime      = 10 * time.Millisecond
	simBookingTime     = 60 * time.Millisecond
	simLookupShare     = 0.8 // fraction of requests that are lookups
	simDuration        = 80 * time.Second
	simLoad            = 0.8
)

// event is an arrival at a gateway or the completion of an execution.
type event struct {
	at      time.Duration
	gateway int
	server  *simServer // nil for an arrival
	arrived time.Duration
	lookup  bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type simServer struct {
	name   string
	slots  int
	busy   int
	queue  []event
	served int
	// serviceTimeFactor is the service time relative to that of a normal server.
	serviceTimeFactor float64
}

// picker is the load balancing policy of one gateway.
type picker interface {
	pick(now time.Duration, random *rand.Rand) string
	done(name string, now, took time.Duration, loadPercent uint32)
}

type balancerPicker struct{ *Balancer }

func (b balancerPicker) pick(now time.Duration, random *rand.Rand) string {
	name, _ := b.Pick(now, random)
	return name
}

func (b balancerPicker) done(name string, now, took time.Duration, loadPercent uint32) {
	b.ReportLoad(name, loadPercent, now)
	b.Done(name, now, took, Responded)
}

type roundRobinPicker struct{ *RoundRobin }

func (r roundRobinPicker) pick(time.Duration, *rand.Rand) string {
	name, _ := r.Pick()
	return name
}

func (r roundRobinPicker) done(string, time.Duration, time.Duration, uint32) {}

type simResult struct {
	p99 time.Duration
	// imbalance is the maximum number of requests per server divided by the mean.
	imbalance float64
	served    map[string]int
}

// newServers returns count servers with 3 slots each, distributed round robin over the zones.
func newServers(count, zones int) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{Name: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%zones), Slots: 3}
	}
	return servers
}

// simulate sends Poisson arrivals through the pickers at the given fraction of the slot capacity.
func simulate(servers []Server, load float64, slow map[string]float64, pickers []picker) simResult {
	random := rand.New(rand.NewPCG(11, 11))
	state := make(map[string]*simServer)
	slots := 0
	for _, s := range servers {
		state[s.Name] = &simServer{name: s.Name, slots: s.Slots, serviceTimeFactor: max(1, slow[s.Name])}
		slots += s.Slots
	}
	meanInterarrival := simMeanServiceTime.Seconds() / (load * float64(slots)) * float64(len(pickers))
	var queue events
	scheduleArrival := func(gateway int, now time.Duration) {
		heap.Push(&queue, event{
			at: now + time.Duration(random.ExpFloat64()*meanInterarrival*float64(time.Second)), gateway: gateway,
		})
	}
	for i := range pickers {
		scheduleArrival(i, 0)
	}
	startExecution := func(s *simServer, e event, now time.Duration) {
		s.busy++
		mean := simBookingTime
		if e.lookup {
			mean = simLookupTime
		}
		e.at = now + time.Duration(random.ExpFloat64()*s.serviceTimeFactor*float64(mean))
		e.server = s
		heap.Push(&queue, e)
	}
	var latencies []time.Duration
	for now := time.Duration(0); now < simDuration; {
		e := heap.Pop(&queue).(event)
		now = e.at
		if s := e.server; s != nil {
			s.busy--
			s.served++
			if e.lookup {
				latencies = append(latencies, now-e.arrived)
			}
			if len(s.queue) > 0 {
				startExecution(s, s.queue[0], now)
				s.queue = s.queue[1:]
			}
			pickers[e.gateway].done(s.name, now, now-e.arrived, uint32(100*(s.busy+len(s.queue))/s.slots))
			continue
		}
		scheduleArrival(e.gateway, now)
		e.arrived = now
		e.lookup = random.Float64() < simLookupShare
		s := state[pickers[e.gateway].pick(now, random)]
		if s.busy < s.slots {
			startExecution(s, e, now)
		} else {
			s.queue = append(s.queue, e)
		}
	}
	slices.Sort(latencies)
	result := simResult{p99: latencies[len(latencies)*99/100], served: make(map[string]int)}
	maxServed, totalServed := 0, 0
	for _, s := range state {
		result.served[s.name] = s.served
		maxServed = max(maxServed, s.served)
		totalServed += s.served
	}
	result.imbalance = float64(maxServed*len(servers)) / float64(totalServed)
	return result
}

func newBalancerPickers(servers []Server, gateways int) []picker {
	pickers := make([]picker, gateways)
	for i := range pickers {
		b := New(fmt.Sprint("z", i%simZones))
		b.Update(servers, 0)
		pickers[i] = balancerPicker{b}
	}
	return pickers
}

func newRoundRobinPickers(servers []Server, gateways int) []picker {
	names := make([]string, len(servers))
	for i, s := range servers {
		names[i] = s.Name
	}
	random := rand.New(rand.NewPCG(13, 13))
	pickers := make([]picker, gateways)
	for i := range pickers {
		pickers[i] = roundRobinPicker{NewRoundRobin(names, random.IntN(len(names)))}
	}
	return pickers
}

// TestAgainstRoundRobin checks that the balancer outperforms round robin: at 80% of the slot capacity, p99 is
// at most 0.7 of that of round robin, and no server gets more than 1.15 times the mean number of requests.
func TestAgainstRoundRobin(t *testing.T) {
	for _, count := range []int{8, 10, 16} {
		for _, gateways := range []int{1, 12} {
			zones := min(gateways, simZones)
			servers := newServers(count, zones)
			baseline := simulate(servers, simLoad, nil, newRoundRobinPickers(servers, gateways))
			balanced := simulate(servers, simLoad, nil, newBalancerPickers(servers, gateways))
			ratio := balanced.p99.Seconds() / baseline.p99.Seconds()
			t.Logf("%d servers, %d gateways: p99 %v, round robin %v, ratio %.3f, imbalance %.3f",
				count, gateways, balanced.p99, baseline.p99, ratio, balanced.imbalance)
			if ratio > 0.7 {
				t.Errorf("p99 ratio to round robin is %.3f, want at most 0.7", ratio)
			}
			if balanced.imbalance > 1.15 {
				t.Errorf("imbalance is %.3f, want at most 1.15", balanced.imbalance)
			}
		}
	}
}

// TestSlowServer checks that a server with three times the service time gets at most half as many requests as
// the others.
func TestSlowServer(t *testing.T) {
	servers := newServers(10, simZones)
	result := simulate(servers, 0.6, map[string]float64{"s3": 3}, newBalancerPickers(servers, simGateways))
	all := 0
	for _, served := range result.served {
		all += served
	}
	slow := result.served["s3"]
	t.Logf("the slow server got %d requests, the others %d on average; p99 %v", slow, (all-slow)/9, result.p99)
	if 2*slow > (all-slow)/9 {
		t.Error("the slow server got more than half as many requests as another one")
	}
}
