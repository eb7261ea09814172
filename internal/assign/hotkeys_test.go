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

// evenInput returns servers with the same load of 100 on each, divided over 64 partitions of a server.
func evenInput(servers int) *Input {
	in := &Input{PartitionCount: servers * 64, Preference: config.PreferBalance}
	for i := range servers {
		in.Servers = append(in.Servers, Server{Name: serverName(i), State: Up, ColdSince: Warm})
	}
	for id := range in.PartitionCount {
		in.Partitions = append(in.Partitions, PartitionLoad{ID: keyspace.Partition(id), Owner: serverName(id % servers), Load: 100.0 / 64})
	}
	return in
}

// Guards against a key near the threshold that leaves and returns again and again: its load changes by 20% around
// the split threshold every second for an hour of model time, so that it crosses in both directions.
func TestKeyNearThresholdDoesNotFlap(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	in := evenInput(4)
	splitAt := 100 * DefaultTuning(in.Preference).SplitThreshold
	starts, before := 0, 0
	for range 3600 {
		in.Now += time.Second
		in.HotKeys = []KeyLoad{{Key: "hot", Load: splitAt * (0.8 + 0.4*random.Float64())}}
		result := Policy{}.Next(in)
		starts += max(0, len(result.Overrides)-before)
		before = len(result.Overrides)
		in.Overrides = result.Overrides
	}
	if starts != 1 || before != 1 {
		t.Errorf("the key left its partition %d times and ends with %d overrides, want 1 and 1", starts, before)
	}
}

// Guards against a key that returns too early, never returns, or returns while its load is still between the two
// thresholds.
func TestKeyReturnsAfterBothTimes(t *testing.T) {
	tuning := DefaultTuning(config.PreferBalance)
	cases := []struct {
		name  string
		share float64 // load after the first round, as a share of one server
		quiet time.Duration
		since time.Duration
		stays bool
	}{
		{"between the thresholds", (tuning.SplitThreshold + tuning.ReturnThreshold) / 2, 0, 0, true},
		{"not quiet for long", tuning.ReturnThreshold / 2, tuning.ReturnDelay - time.Second, time.Hour, true},
		{"young", tuning.ReturnThreshold / 2, tuning.ReturnDelay, tuning.MinOverrideDuration - time.Second, true},
		{"quiet and old", tuning.ReturnThreshold / 2, tuning.ReturnDelay, tuning.MinOverrideDuration, false},
		{"gone", 0, tuning.ReturnDelay, tuning.MinOverrideDuration, false},
	}
	for _, c := range cases {
		in := evenInput(4)
		in.Now = 2 * time.Hour
		in.Overrides = []Override{{Key: "hot", Owner: serverName(0), Since: in.Now - c.since, BelowThresholdSince: in.Now - c.quiet}}
		in.HotKeys = []KeyLoad{{Key: "hot", Load: 100 * c.share}}
		if result := (Policy{}).Next(in); (len(result.Overrides) == 1) != c.stays {
			t.Errorf("%s: overrides %+v", c.name, result.Overrides)
		}
	}
}

// Guards against more overrides than the limit, a hot key that is kept out by quiet ones, and quiet keys that push
// each other out.
func TestLimitPrefersHotKeys(t *testing.T) {
	in := evenInput(4)
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
		t.Errorf("overrides %q, want the keys 0, 1 and 3: 0 and 1 replace the quiet ones", got)
	}
}

// Guards against undefined values in the result of an empty cell and of loads that are not numbers.
func TestOddInputs(t *testing.T) {
	if result := (Policy{}).Next(&Input{Servers: []Server{{Name: "a", State: Up}}, PartitionCount: 8}); result.Imbalance != 0 {
		t.Errorf("imbalance %v without partitions", result.Imbalance)
	}
	in := evenInput(2)
	in.Partitions[0].Load, in.Partitions[1].Load, in.Capacity = math.NaN(), math.Inf(1), -1
	in.HotKeys = []KeyLoad{{Key: "nan", Load: math.NaN()}, {Key: "negative", Load: -5}}
	if result := (Policy{}).Next(in); result.Imbalance < 1 || result.Imbalance > maxImbalance || len(result.Overrides) > 0 {
		t.Errorf("imbalance %v, overrides %v", result.Imbalance, result.Overrides)
	}
}

// Guards against a key hotter than a server that is not named, that drags other work with it, or that moves from
// server to server.
func TestTooHotKeyIsNamedAndStays(t *testing.T) {
	in := evenInput(4)
	in.HotKeys = []KeyLoad{{Key: "giant", Load: 300}}
	in.Partitions[keyspace.PartitionOf("giant", in.PartitionCount)].Load += 300
	keyMoves := 0
	for range 120 {
		result := Policy{}.Next(in)
		if len(result.OversizedKeys) != 1 || result.OversizedKeys[0].Key != "giant" {
			t.Fatalf("too hot: %+v", result.OversizedKeys)
		}
		for _, move := range result.Moves {
			if move.Key != "" {
				keyMoves++
			}
		}
		in = after(in, result, in.Now+time.Second)
	}
	if keyMoves > 0 {
		t.Errorf("the key moved %d times, want 0", keyMoves)
	}
	if owned := countOwned(in, in.Overrides[0].Owner); owned != 1 {
		t.Errorf("the owner of the key owns %d units, want only the key", owned)
	}
}
