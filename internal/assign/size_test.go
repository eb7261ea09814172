package assign

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

const (
	// maxChurn and maxImbalance are the targets of the design.
	maxChurn     = 1.05
	maxImbalance = 1.10
)

// settle runs rounds until nothing moves for a minute and returns the number of moves of partitions.
func settle(t *testing.T, in *Input) (*Input, int) {
	t.Helper()
	moves, quiet := 0, 0
	for range 1000 {
		result := Policy{}.Next(in)
		moves += len(result.Moves)
		if quiet++; len(result.Moves) > 0 {
			quiet = 0
		}
		if quiet == 120 {
			if result.Imbalance > maxImbalance {
				t.Errorf("imbalance %.3f above %.2f", result.Imbalance, maxImbalance)
			}
			return in, moves
		}
		in = after(in, result, in.Now+500*time.Millisecond)
	}
	t.Fatal("does not settle in 1000 rounds")
	return nil, 0
}

// Guards the targets of churn and imbalance on a join of a cold server and on a leave, from a small service to
// 4,096 partitions on 64 servers.
func TestJoinAndLeaveMoveTheLeast(t *testing.T) {
	for _, servers := range []int{2, 16, 64} {
		in, _ := settle(t, evenInput(servers))
		in.Servers = append(in.Servers, Server{Name: "joiner", State: Up, ColdSince: in.Now})
		in, moves := settle(t, in)
		if least := float64(in.PartitionCount) / float64(servers+1); float64(moves) > maxChurn*least || float64(moves) < 0.9*least {
			t.Errorf("join of %d servers: %d moves, least %.1f", servers, moves, least)
		}
		in.Servers[0].State, in.Servers[0].DrainDeadline = Draining, in.Now+3*time.Second
		least := countOwned(in, in.Servers[0].Name)
		in, moves = settle(t, in)
		if float64(moves) > maxChurn*float64(least) || countOwned(in, in.Servers[0].Name) > 0 {
			t.Errorf("leave of 1 of %d servers: %d moves, least %d", servers+1, moves, least)
		}
	}
}

// Guards against a round that moves so much at once that the moves cost availability.
func TestMovesOfOneRoundAreBounded(t *testing.T) {
	in := evenInput(16)
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
		in = after(in, result, in.Now+tuning.RoundInterval)
	}
	if result := (Policy{}).Next(in); result.Imbalance > maxImbalance {
		t.Errorf("imbalance %.3f after 200 rounds", result.Imbalance)
	}
}

// Guards against a cold server that gets its whole share at once, and against one that never gets it.
func TestColdServerRamps(t *testing.T) {
	in := evenInput(4)
	in.Now = time.Hour
	in.Servers = append(in.Servers, Server{Name: "cold", State: Up, ColdSince: in.Now})
	tuning := DefaultTuning(in.Preference)
	share := float64(in.PartitionCount) / 5
	for in.Now < time.Hour+2*tuning.RampDuration {
		allowed := tuning.rampShare(time.Hour, in.Now) + 2/share
		if owned := float64(countOwned(in, "cold")); owned > allowed*share*1.1 {
			t.Fatalf("the server owns %.0f of its share of %.0f after %v", owned, share, in.Now-time.Hour)
		}
		in = after(in, Policy{}.Next(in), in.Now+tuning.RoundInterval)
	}
	if owned := float64(countOwned(in, "cold")); owned < 0.9*share {
		t.Errorf("the server owns %.0f of its share of %.0f at the end", owned, share)
	}
}

// Guards against averages that lose or double the load of a key when its override starts and ends.
func TestTrackerKeepsTheTotal(t *testing.T) {
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
	check("at the start")
	tracker.SetHeavyKeys([]KeyLoad{{Key: "hot", Load: 60}})
	tracker.ApplyOverrides([]Override{{Key: "hot"}})
	check("after the start of the override")
	for range 20 {
		tracker.AddPartition(id, 20)
		tracker.AddKey("hot", 30)
		tracker.Advance(500 * time.Millisecond)
	}
	check("with the override")
	tracker.SetHeavyKeys(nil)
	tracker.ApplyOverrides(nil)
	check("after the end of the override")
}

// Guards against partitions of other cells that count as idle ones of this cell: their number must not change the
// loads of the cell's own partitions.
func TestTrackerIgnoresOtherCells(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	alone, among := NewTracker(16, DefaultSmoothing()), NewTracker(1024, DefaultSmoothing())
	own := make([]keyspace.Partition, 16)
	for i := range own {
		own[i] = keyspace.Partition(i)
	}
	among.SetPartitions(own)
	for range 50 {
		for _, id := range own {
			work := float64(random.IntN(20))
			alone.AddPartition(id, work)
			among.AddPartition(id, work)
		}
		alone.Advance(time.Second)
		among.Advance(time.Second)
	}
	for _, id := range own {
		if alone.Load(id) != among.Load(id) || alone.LoadError() != among.LoadError() {
			t.Errorf("partition %d: load %v alone, %v among others", id, alone.Load(id), among.Load(id))
		}
	}
}

// Guards against a sketch that misses a heavy key among many light ones, names a light one or keeps a past one.
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
