package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// balancedInput returns an input in which each server owns 64 partitions with a total load of 100.
func balancedInput(servers int) *Input {
	in := &Input{PartitionCount: servers * 64, Preference: config.PreferBalance}
	for i := range servers {
		in.Servers = append(in.Servers, Server{Name: serverName(i), State: Up, ColdSince: Warm})
	}
	for id := range in.PartitionCount {
		in.Partitions = append(in.Partitions, PartitionLoad{ID: keyspace.Partition(id), Owner: serverName(id % servers), Load: 100.0 / 64})
	}
	return in
}

// Guards against flapping of the override of a key near the split threshold. Every second for an hour of simulated
// time, the load varies by up to 20% around the threshold, so that it crosses the threshold in both directions.
func TestKeyNearThresholdDoesNotFlap(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	in := balancedInput(4)
	splitLoad := 100 * DefaultTuning(in.Preference).SplitThreshold
	started, inForce := 0, 0
	for range 3600 {
		in.Now += time.Second
		in.HotKeys = []KeyLoad{{Key: "hot", Load: splitLoad * (0.8 + 0.4*random.Float64())}}
		result := Policy{}.Next(in)
		started += max(0, len(result.Overrides)-inForce)
		inForce = len(result.Overrides)
		in.Overrides = result.Overrides
	}
	if started != 1 || inForce != 1 {
		t.Errorf("%d overrides started and %d are in force at the end, want 1 and 1", started, inForce)
	}
}

// Guards against an override that ends too early, never ends, or ends while the load is between the two thresholds.
func TestKeyReturnsAfterBothDelays(t *testing.T) {
	tuning := DefaultTuning(config.PreferBalance)
	cases := []struct {
		name  string
		share float64 // load as a share of one server
		below time.Duration
		since time.Duration
		keeps bool
	}{
		{"between the thresholds", (tuning.SplitThreshold + tuning.ReturnThreshold) / 2, 0, 0, true},
		{"below the threshold too briefly", tuning.ReturnThreshold / 2, tuning.ReturnDelay - time.Second, time.Hour, true},
		{"override too recent", tuning.ReturnThreshold / 2, tuning.ReturnDelay, tuning.MinOverrideDuration - time.Second, true},
		{"both delays elapsed", tuning.ReturnThreshold / 2, tuning.ReturnDelay, tuning.MinOverrideDuration, false},
		{"no load", 0, tuning.ReturnDelay, tuning.MinOverrideDuration, false},
	}
	for _, c := range cases {
		in := balancedInput(4)
		in.Now = 2 * time.Hour
		in.Overrides = []Override{{Key: "hot", Owner: serverName(0), Since: in.Now - c.since, BelowThresholdSince: in.Now - c.below}}
		in.HotKeys = []KeyLoad{{Key: "hot", Load: 100 * c.share}}
		if result := (Policy{}).Next(in); (len(result.Overrides) == 1) != c.keeps {
			t.Errorf("%s: overrides %+v", c.name, result.Overrides)
		}
	}
}

// Guards against more overrides than the limit, a hot key without an override while keys below the return threshold
// have one, and keys below that threshold that replace each other.
func TestOverrideLimitPrefersHotKeys(t *testing.T) {
	in := balancedInput(4)
	in.Now, in.OverrideLimit = time.Hour, 3
	for i := range 6 {
		in.HotKeys = append(in.HotKeys, KeyLoad{Key: fmt.Sprint(i), Load: float64(60 - i)})
	}
	for _, key := range []string{"quiet-1", "quiet-2", "3"} {
		in.Overrides = append(in.Overrides, Override{Key: key, Owner: serverName(0), Since: in.Now, BelowThresholdSince: in.Now})
	}
	result := Policy{}.Next(in)
	got := ""
	for _, override := range result.Overrides {
		got += override.Key
	}
	if got != "013" {
		t.Errorf("overrides %q, want keys 0, 1 and 3: keys 0 and 1 replace those below the return threshold", got)
	}
}

// Guards against NaN and infinite values in the result of a cell without partitions and of invalid loads.
func TestInvalidLoadsGiveDefinedResults(t *testing.T) {
	if result := (Policy{}).Next(&Input{Servers: []Server{{Name: "a", State: Up}}, PartitionCount: 8}); result.Imbalance != 0 {
		t.Errorf("imbalance %v without partitions", result.Imbalance)
	}
	in := balancedInput(2)
	in.Partitions[0].Load, in.Partitions[1].Load, in.Capacity = math.NaN(), math.Inf(1), -1
	in.HotKeys = []KeyLoad{{Key: "nan", Load: math.NaN()}, {Key: "negative", Load: -5}}
	if result := (Policy{}).Next(in); result.Imbalance < 1 || result.Imbalance > imbalanceTarget || len(result.Overrides) > 0 {
		t.Errorf("imbalance %v, overrides %v", result.Imbalance, result.Overrides)
	}
}

// Guards against a key that exceeds the capacity of one server and is not reported, shares its server with other
// units, or moves between servers.
func TestOversizedKeyIsReportedAndStays(t *testing.T) {
	in := balancedInput(4)
	in.HotKeys = []KeyLoad{{Key: "giant", Load: 300}}
	in.Partitions[keyspace.PartitionOf("giant", in.PartitionCount)].Load += 300
	keyMoves := 0
	for range 120 {
		result := Policy{}.Next(in)
		if len(result.OversizedKeys) != 1 || result.OversizedKeys[0].Key != "giant" {
			t.Fatalf("oversized keys: %+v, want only \"giant\"", result.OversizedKeys)
		}
		for _, move := range result.Moves {
			if move.Key != "" {
				keyMoves++
			}
		}
		in = nextInput(in, result, in.Now+time.Second)
	}
	if keyMoves > 0 {
		t.Errorf("the key moved %d times, want 0", keyMoves)
	}
	if owned := countOwned(in, in.Overrides[0].Owner); owned != 1 {
		t.Errorf("the owner of the oversized key owns %d units, want 1", owned)
	}
}
