package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testServer = 7
	// step is the resolution of the simulated time.
	step = 10 * time.Millisecond
	// reportInterval is the interval of reports and of allocations, messageDelay the time that a message takes.
	reportInterval = 50 * time.Millisecond
	messageDelay   = 20 * time.Millisecond
	// patience is how long a request waits for a permit.
	patience = 400 * time.Millisecond
	// window, factor and slack are the figures of the platform's rule.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// contact is the time that gateways have to learn a limit.
	contact = 3 * time.Second
)

// simGateway is a gateway of a simulated fleet.
type simGateway struct {
	host    string
	limiter *Limiter
	// rate is the number of requests a second that arrive.
	rate float64
	// connected is false while the gateway does not reach the elected one.
	connected bool
	// waiting are the times until which requests wait for a permit.
	waiting []time.Duration
}

// message is a message that takes messageDelay.
type message struct {
	at      time.Duration
	deliver func(now time.Duration)
}

// simFleet is a fleet of gateways with one backend server, and an allocator at the elected gateway.
type simFleet struct {
	now       time.Duration
	random    *rand.Rand
	gateways  []*simGateway
	allocator *Allocator
	limit     float64
	limited   bool
	messages  []message
	// kind is the kind of the limit.
	kind Kind
	// sent are the times of the requests.
	sent []time.Duration
	// wanted counts the requests that arrived.
	wanted int
}

func newSimFleet(seed uint64, gateways int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), allocator: NewAllocator(SlowStart{}), now: time.Second}
	for i := range gateways {
		f.gateways = append(f.gateways, &simGateway{
			host: fmt.Sprint("g", i), limiter: NewLimiter(f.random.Float64()), connected: true,
		})
	}
	return f
}

// run advances the simulated time.
func (f *simFleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += step {
		f.deliver()
		for _, g := range f.gateways {
			f.serveWaiting(g)
			for range f.arrivals(g.rate) {
				f.request(g)
			}
		}
		if f.now%reportInterval == 0 {
			f.exchange()
		}
	}
}

// arrivals returns the number of requests in one step.
func (f *simFleet) arrivals(rate float64) int {
	expected := rate * step.Seconds()
	count := int(expected)
	if f.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

func (f *simFleet) request(g *simGateway) {
	f.wanted++
	g.limiter.Want()
	if !g.limiter.Admits(f.now, len(f.gateways)) {
		if g.limiter.Wait(0, len(g.waiting), f.now, len(f.gateways)) <= patience {
			g.waiting = append(g.waiting, f.now+patience)
		}
		return
	}
	f.forward(g)
}

// serveWaiting forwards waiting requests that are admitted, and drops those that have waited too long.
func (f *simFleet) serveWaiting(g *simGateway) {
	for len(g.waiting) > 0 && (g.waiting[0] < f.now || g.limiter.Admits(f.now, len(f.gateways))) {
		if g.waiting[0] >= f.now {
			f.forward(g)
		}
		g.waiting = g.waiting[1:]
	}
}

func (f *simFleet) forward(g *simGateway) {
	g.limiter.Take(f.now, len(f.gateways))
	f.sent = append(f.sent, f.now)
	sentAt, limit, limited := f.now, f.limit, f.limited
	if f.kind == KindSlowStart {
		return
	}
	f.send(func(now time.Duration) { g.limiter.Observe(FromResponse(limit, limited, sentAt, now), now) })
}

func (f *simFleet) send(deliver func(now time.Duration)) {
	f.messages = append(f.messages, message{at: f.now + messageDelay, deliver: deliver})
}

func (f *simFleet) deliver() {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at <= f.now {
			m.deliver(f.now)
			continue
		}
		f.messages = append(f.messages, m)
	}
}

// exchange sends the reports of the connected gateways, and what the allocator grants to them.
func (f *simFleet) exchange() {
	var hosts []string
	for _, g := range f.gateways {
		if !g.connected {
			continue
		}
		hosts = append(hosts, g.host)
		if usage, due := g.limiter.Report(f.now, len(f.gateways), Waiting{len(g.waiting)}); due {
			report := Report{Server: testServer, Kind: f.kind, Statement: g.limiter.Statement(), Usage: usage}
			f.send(func(now time.Duration) { f.allocator.Report(g.host, report, now) })
		}
	}
	slices.Sort(hosts)
	grants := f.allocator.Allocate(hosts, len(f.gateways), f.now)
	for _, g := range f.gateways {
		for _, grant := range grants[g.host] {
			f.send(func(now time.Duration) { g.limiter.Allocate(grant, now) })
		}
	}
}

// worst returns the largest number of requests in a window that begins at a point in time or later.
func (f *simFleet) worst(from time.Duration) int {
	worst, first := 0, 0
	for i, at := range f.sent {
		for f.sent[first] <= at-window || f.sent[first] < from {
			if first++; first > i {
				break
			}
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Guards against a fleet that exceeds the limit of a server, whatever the number of gateways, the limit and the demand,
// and while gateways and the elected one lose each other.
func TestFleetKeepsToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 80).Draw(t, "gateways"))
		for _, g := range f.gateways {
			g.rate = math.Pow(10, rapid.Float64Range(-1.5, 1.5).Draw(t, "rate"))
		}
		f.limited, f.limit = true, math.Round(rapid.Float64Range(0, 40).Draw(t, "limit")*10)/10
		f.run(contact)
		from := f.now
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				for _, g := range f.gateways {
					g.connected = f.random.IntN(3) > 0
				}
			case 1:
				for _, g := range f.gateways {
					g.connected = true
				}
			case 2:
				f.allocator = NewAllocator(SlowStart{})
			case 3:
				for _, g := range f.gateways {
					g.rate *= 3
				}
			}
			f.run(time.Duration(rapid.IntRange(500, 5000).Draw(t, "ms")) * time.Millisecond)
		}
		allowed := factor*f.limit*window.Seconds() + slack
		if worst := f.worst(from); float64(worst) > allowed {
			t.Fatalf("%d requests in %v, %v allowed", worst, window, allowed)
		}
	})
}

// Guards against a limit that is shared so cautiously that the server idles while requests are refused.
func TestFleetUsesLimit(t *testing.T) {
	cases := []struct {
		gateways     int
		limit        float64
		rate         float64
		share        float64
		disconnected bool
	}{
		{10, 5.7, 2.5, 0.85, false},
		{10, 5.7, 0.3, 0.85, false},
		{70, 6, 0.15, 0.85, false},
		{300, 6, 0.02, 0.8, false},
		{10, 5.7, 2.5, 0.6, true},
	}
	for _, c := range cases {
		f := newSimFleet(1, c.gateways)
		for _, g := range f.gateways {
			g.rate, g.connected = c.rate, !c.disconnected
		}
		f.limited, f.limit = true, c.limit
		f.run(5 * time.Second)
		f.sent, f.wanted = nil, 0
		f.run(30 * time.Second)
		if possible := min(float64(f.wanted), 30*c.limit); float64(len(f.sent)) < c.share*possible {
			t.Errorf("%+v: %d requests sent, %v possible", c, len(f.sent), possible)
		}
	}
}

// Guards against a limit that goes on after the server has ended it.
func TestFleetForgetsLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 6} {
		f := newSimFleet(2, 10)
		for _, g := range f.gateways {
			g.rate = 5
		}
		f.limited, f.limit = true, limit
		f.run(5 * time.Second)
		f.limited = false
		f.run(10 * time.Second)
		for _, g := range f.gateways {
			if g.limiter.Limited() {
				t.Errorf("limit %v: %s still limits its requests", limit, g.host)
			}
		}
		if _, known := f.allocator.Limit(testServer); known {
			t.Errorf("limit %v: the allocator still limits the requests", limit)
		}
	}
}

// Guards against a limit that an older response ends, which arrives after the one that named it.
func TestOlderResponseEndsNoLimit(t *testing.T) {
	l := NewLimiter(0)
	l.Observe(FromResponse(5, true, time.Second, 1100*time.Millisecond), 1100*time.Millisecond)
	if l.Observe(FromResponse(0, false, 1050*time.Millisecond, 1200*time.Millisecond), 1200*time.Millisecond); !l.Limited() {
		t.Fatal("a response to a request that was sent before the limit was named ended it")
	}
	if l.Observe(FromResponse(0, false, 1300*time.Millisecond, 1400*time.Millisecond), 1400*time.Millisecond); l.Limited() {
		t.Fatal("the limit goes on after a later response without one")
	}
}

// Guards against less urgent requests that are issued permits before more urgent ones.
func TestUrgentRequestsFirst(t *testing.T) {
	a := NewAllocator(SlowStart{})
	statement := Statement{Limited: true, Limit: 10, At: time.Second}
	now := time.Second
	a.Report("a", Report{Server: testServer, Statement: statement, Usage: Usage{Wanted: 9, Waiting: Waiting{0, 0, 9}}}, now)
	a.Report("b", Report{Server: testServer, Statement: statement, Usage: Usage{Wanted: 2, Waiting: Waiting{1: 2}}}, now)
	now += 200 * time.Millisecond
	grants := a.Allocate([]string{"a", "b"}, 2, now)
	if grants["a"][0].Permits != 0 || grants["b"][0].Permits != 2 {
		t.Fatalf("grants %+v, want two permits for the more urgent requests", grants)
	}
	if waits := grants["a"][0].Waits; waits[0] >= waits[2] {
		t.Fatalf("waits %v, want a shorter one for more urgent requests", waits)
	}
}

// Guards against the limit of a server that is gone, for which permits are issued for ever.
func TestAllocatorForgetsServer(t *testing.T) {
	a := NewAllocator(SlowStart{})
	statement := Statement{Limited: true, Limit: 10, At: time.Second}
	a.Report("a", Report{Server: testServer, Statement: statement}, time.Second)
	if a.Allocate([]string{"a"}, 1, time.Second+reportRetention); a.Empty() {
		t.Fatal("limit forgotten while the server may be there")
	}
	if a.Allocate([]string{"a"}, 1, 2*time.Second+reportRetention); !a.Empty() {
		t.Fatal("limit kept although nobody reports on the server")
	}
}
