package placing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const testRunTime = 60 * time.Millisecond

func idleServer() Server { return Server{Slots: 3, RunTime: testRunTime} }

// Guards against filling a server beyond its queue, where some servers never answer, and against a queue so long
// that every request is late.
func TestHasRoom(t *testing.T) {
	cases := []struct {
		name   string
		own    int
		peers  float64
		target time.Duration
		room   bool
	}{
		{"idle", 0, 0, 200 * time.Millisecond, true},
		{"all slots busy", 3, 0, 200 * time.Millisecond, true},
		{"the latency objective would be missed", 2, 7, 200 * time.Millisecond, false},
		{"a long objective does not exceed the queue limit", 4, 5, time.Minute, false},
		{"a short objective leaves some room", 3, 0, time.Millisecond, true},
		{"no further room with a short objective", 4, 0, time.Millisecond, false},
	}
	for _, c := range cases {
		s := idleServer()
		s.OwnRequests, s.PeerRequests = c.own, c.peers
		if room := s.HasRoom(Limits{Target: c.target}); room != c.room {
			t.Errorf("%s: room %v, want %v", c.name, room, c.room)
		}
	}
}

// choose places a request on one of the servers. Servers without network cost are in the gateway's zone.
func choose(servers []Server, limits Limits, random *rand.Rand) int {
	candidates := Candidates{State: func(i int) Server { return servers[i] }}
	for i, s := range servers {
		if s.NetworkCost == 0 {
			candidates.SameZone = append(candidates.SameZone, i)
		} else {
			candidates.OtherZones = append(candidates.OtherZones, i)
		}
	}
	return Choose(candidates, limits, random)
}

// Guards against honoring so many suspensions that the remaining servers are overloaded.
func TestHonorSuspensions(t *testing.T) {
	if !HonorSuspensions(2, 4) || HonorSuspensions(3, 4) {
		t.Fatal("want suspensions honored for half of the servers and ignored for more than half")
	}
}

// Guards against choosing a full server because the random sample held no server with room.
func TestChooseFindsRoom(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	servers := make([]Server, 50)
	for i := range servers {
		servers[i] = idleServer()
		servers[i].PeerRequests = 20
	}
	limits := Limits{Target: time.Second}
	if i := choose(servers, limits, random); i != -1 {
		t.Fatalf("full server %d was chosen", i)
	}
	servers[17].PeerRequests = 0
	for range 50 {
		if i := choose(servers, limits, random); i != 17 {
			t.Fatalf("server %d was chosen, only 17 has room", i)
		}
	}
}

// Guards against gateways that all send to the same server until they learn of each other's requests. The known
// loads are one round old; none of the 100 servers may have more than 15 requests, so that they fit into its
// queue.
func TestChooseWithStaleLoads(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	const count, gateways = 100, 70
	loads := make([]float64, count)
	for round := range 200 {
		added := make([]float64, count)
		for request := range gateways * 2 {
			servers := make([]Server, count)
			for i := range servers {
				servers[i] = idleServer()
				servers[i].PeerRequests = loads[i]
				servers[i].NetworkCost = 5 * time.Millisecond
				if i%4 == request%4 {
					servers[i].NetworkCost = 0
				}
			}
			if i := choose(servers, Limits{Target: 4 * testRunTime}, random); i >= 0 {
				added[i]++
			}
		}
		for i := range loads {
			if loads[i]+added[i] > 15 {
				t.Fatalf("server %d has %v requests in round %d", i, loads[i]+added[i], round)
			}
			loads[i] = max(0, loads[i]+added[i]-1.6)
		}
	}
}

// Guards against preferring a server that fails part of its requests because its failures are fast, and against
// preferring servers in other zones over equal ones in the same zone.
func TestExpectedLatency(t *testing.T) {
	degraded, remote := idleServer(), idleServer()
	degraded.RunTime, degraded.FailureRate = testRunTime/2, 0.5
	remote.NetworkCost = 5 * time.Millisecond
	if degraded.ExpectedLatency() <= idleServer().ExpectedLatency() ||
		remote.ExpectedLatency() <= idleServer().ExpectedLatency() {
		t.Fatalf("degraded %v, remote %v, idle %v",
			degraded.ExpectedLatency(), remote.ExpectedLatency(), idleServer().ExpectedLatency())
	}
}

// Guards against weighting an old load report like a new one, and against counting the gateway's own requests as
// those of others.
func TestPeerLoad(t *testing.T) {
	var p PeerLoad
	if got := p.Estimate(0, 2.5); got != 2.5 {
		t.Errorf("unknown server: %v, want the mean", got)
	}
	p.Report(7, 2, time.Second)
	if got := p.Estimate(time.Second, 0); got != 5 {
		t.Errorf("fresh report: %v, want 5", got)
	}
	if got := p.Estimate(time.Minute, 1); got > 1.1 {
		t.Errorf("old report: %v, want about the mean of 1", got)
	}
}

// Guards against rating a server as slow because its requests were queued.
func TestRunTimeEstimate(t *testing.T) {
	var e RunTimeEstimate
	for range 50 {
		e.Observe(120*time.Millisecond, 1)
	}
	if got := e.Expected(time.Second); got < 55*time.Millisecond || got > 150*time.Millisecond {
		t.Fatalf("expected run time %v, want about 60 ms and a little of the service's mean", got)
	}
}
