package assign

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

const (
	// churnTarget and imbalanceTarget are the upper bounds that the design sets.
	churnTarget     = 1.05
	imbalanceTarget = 1.10
)

// runUntilStable runs rounds until nothing moves for a minute of simulated time and returns the number of moves.
func runUntilStable(t *testing.T, in *Input) (*Input, int) {
	t.Helper()
	moves, stableRounds := 0, 0
	for range 1000 {
		result := Policy{}.Next(in)
		moves += len(result.Moves)
		if stableRounds++; len(result.Moves) > 0 {
			stableRounds = 0
		}
		if stableRounds == 120 {
			if result.Imbalance > imbalanceTarget {
				t.Errorf("imbalance %.3f above %.2f", result.Imbalance, imbalanceTarget)
			}
			return in, moves
		}
		in = nextInput(in, result, in.Now+500*time.Millisecond)
	}
	t.Fatal("did not converge in 1000 rounds")
	return nil, 0
}

// Guards against churn or imbalance above the targets when a cold server joins and when a server leaves, for services
// of up to 4,096 partitions on 64 servers.
func TestJoinAndLeaveMeetChurnTarget(t *testing.T) {
	for _, servers := range []int{2, 16, 64} {
		in, _ := runUntilStable(t, balancedInput(servers))
		in.Servers = append(in.Servers, Server{Name: "joiner", State: Up, ColdSince: in.Now})
		in, moves := runUntilStable(t, in)
		if minimum := float64(in.PartitionCount) / float64(servers+1); float64(moves) > churnTarget*minimum || float64(moves) < 0.9*minimum {
			t.Errorf("join with %d servers: %d moves, minimum %.1f", servers, moves, minimum)
		}
		in.Servers[0].State, in.Servers[0].DrainDeadline = Draining, in.Now+3*time.Second
		minimum := countOwned(in, in.Servers[0].Name)
		in, moves = runUntilStable(t, in)
		if float64(moves) > churnTarget*float64(minimum) || countOwned(in, in.Servers[0].Name) > 0 {
			t.Errorf("leave of 1 of %d servers: %d moves, minimum %d", servers+1, moves, minimum)
		}
	}
}

// Guards against rounds with so many moves at once that they reduce availability.
func TestMovesPerRoundAreBounded(t *testing.T) {
	in := balancedInput(16)
	for i := range in.Partitions {
		in.Partitions[i].Owner = serverName(i % 2)
	}
	tuning := DefaultTuning(in.Preference)
	limit := tuning.moveLimit(len(in.Partitions))
	for range 200 {
		result := Policy{}.Next(in)
		if len(result.Moves) > limit {
			t.Fatalf("%d moves in one round, limit %d", len(result.Moves), limit)
		}
		in = nextInput(in, result, in.Now+tuning.RoundInterval)
	}
	if result := (Policy{}).Next(in); result.Imbalance > imbalanceTarget {
		t.Errorf("imbalance %.3f after 200 rounds", result.Imbalance)
	}
}

// Guards against a cold server that receives its full share at once, or never.
func TestColdServerRampsUp(t *testing.T) {
	in := balancedInput(4)
	in.Now = time.Hour
	in.Servers = append(in.Servers, Server{Name: "cold", State: Up, ColdSince: in.Now})
	tuning := DefaultTuning(in.Preference)
	share := float64(in.PartitionCount) / 5
	for in.Now < time.Hour+2*tuning.RampDuration {
		allowed := tuning.rampShare(time.Hour, in.Now) + 2/share
		if owned := float64(countOwned(in, "cold")); owned > allowed*share*1.1 {
			t.Fatalf("the cold server owns %.0f of its share of %.0f units after %v", owned, share, in.Now-time.Hour)
		}
		in = nextInput(in, Policy{}.Next(in), in.Now+tuning.RoundInterval)
	}
	if owned := float64(countOwned(in, "cold")); owned < 0.9*share {
		t.Errorf("the cold server owns %.0f of its share of %.0f units after the ramp", owned, share)
	}
}

// Guards against averages that lose or double-count the load of a key when its override starts or ends.
func TestTrackerPreservesTotalLoad(t *testing.T) {
	const partitions = 8
	tracker := NewTracker(partitions, DefaultSmoothing())
	id := keyspace.PartitionOf("hot", partitions)
	total := func() float64 {
		sum := 0.0
		for p := range partitions {
			sum += tracker.Load(keyspace.Partition(p))
		}
		for _, key := range tracker.HotKeys() {
			sum += key.Load
		}
		return sum
	}
	check := func(step string) {
		t.Helper()
		if got := total(); got < 99.9 || got > 100.1 {
			t.Errorf("%s: total load %.2f, want 100", step, got)
		}
	}
	for range 20 {
		tracker.AddPartition(id, 50)
		tracker.Advance(500 * time.Millisecond)
	}
	check("before the override")
	tracker.SetHeavyKeys([]KeyLoad{{Key: "hot", Load: 60}})
	tracker.ApplyOverrides([]Override{{Key: "hot"}})
	check("after the override started")
	for range 20 {
		tracker.AddPartition(id, 20)
		tracker.AddKey("hot", 30)
		tracker.Advance(500 * time.Millisecond)
	}
	check("while the override is in force")
	tracker.SetHeavyKeys(nil)
	tracker.ApplyOverrides(nil)
	check("after the override ended")
}

// Guards against counting the partitions of other cells as idle partitions of this cell: their number must not affect
// the loads of the cell's own partitions.
func TestTrackerIgnoresPartitionsOfOtherCells(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	alone, shared := NewTracker(16, DefaultSmoothing()), NewTracker(1024, DefaultSmoothing())
	own := make([]keyspace.Partition, 16)
	for i := range own {
		own[i] = keyspace.Partition(i)
	}
	shared.SetPartitions(own)
	for range 50 {
		for _, id := range own {
			work := float64(random.IntN(20))
			alone.AddPartition(id, work)
			shared.AddPartition(id, work)
		}
		alone.Advance(time.Second)
		shared.Advance(time.Second)
	}
	for _, id := range own {
		if alone.Load(id) != shared.Load(id) || alone.LoadError() != shared.LoadError() {
			t.Errorf("partition %d: load %v without partitions of other cells, %v with them", id, alone.Load(id), shared.Load(id))
		}
	}
}

// Guards against a sketch that misses a heavy key among many light ones, reports a light key, or still reports a key
// that is no longer heavy.
func TestSketchFindsHeavyKeys(t *testing.T) {
	sketch := NewSketch(64, time.Second)
	for second := range 20 {
		heavy := "early"
		if second >= 10 {
			heavy = "late"
		}
		for i := range 1000 {
			key := heavy
			if i%10 > 0 {
				key = string(rune('A'+i)) + heavy
			}
			sketch.Observe(key, 1)
		}
		sketch.Decay(time.Duration(second+1) * time.Second)
	}
	top := sketch.Top(50)
	if len(top) != 1 || top[0].Key != "late" || top[0].Load < 80 || top[0].Load > 140 {
		t.Errorf("top %+v, want only \"late\" with about 100", top)
	}
}
