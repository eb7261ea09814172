package assign

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

func serverName(i int) string { return fmt.Sprintf("server-%03d", i) }

func drawInput(t *rapid.T) *Input {
	in := &Input{
		Now:            time.Duration(rapid.IntRange(0, 300).Draw(t, "now")) * time.Second,
		Preference:     rapid.SampledFrom([]config.Preference{config.PreferAvailability, config.PreferBalance}).Draw(t, "preference"),
		PartitionCount: 1 << rapid.IntRange(0, 8).Draw(t, "count"),
	}
	states := []State{Up, Up, Up, Draining, Down}
	for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
		in.Servers = append(in.Servers, Server{
			Name:          serverName(i),
			Weight:        float64(rapid.IntRange(0, 4).Draw(t, "weight")),
			State:         rapid.SampledFrom(states).Draw(t, "state"),
			ColdSince:     rapid.SampledFrom([]time.Duration{Warm, 0, in.Now, in.Now + time.Hour}).Draw(t, "cold"),
			DrainDeadline: in.Now + time.Duration(rapid.IntRange(-3, 3).Draw(t, "drain"))*time.Second,
		})
	}
	owners := rapid.IntRange(-1, len(in.Servers)) // len(in.Servers) stands for a server that was removed
	skew := rapid.SampledFrom([]float64{0, 1, 100}).Draw(t, "skew")
	step := rapid.IntRange(1, 2).Draw(t, "step") // 2 leaves half of the partitions to another cell
	for id := 0; id < in.PartitionCount; id += step {
		load := 1 + skew*rapid.Float64Range(0, 1).Draw(t, "load")
		in.Partitions = append(in.Partitions, PartitionLoad{ID: keyspace.Partition(id), Owner: drawOwner(t, owners), Load: load})
	}
	for i := range rapid.IntRange(0, 20).Draw(t, "keys") {
		key := fmt.Sprintf("key-%d", i)
		in.HotKeys = append(in.HotKeys, KeyLoad{Key: key, Load: rapid.Float64Range(0, 100).Draw(t, "key load")})
		if rapid.Bool().Draw(t, "has override") {
			in.Overrides = append(in.Overrides, Override{Key: key, Owner: drawOwner(t, owners)})
		} else if id := int(keyspace.PartitionOf(key, in.PartitionCount)); id%step == 0 {
			in.Partitions[id/step].Load += in.HotKeys[i].Load
		}
	}
	in.OverrideLimit = rapid.IntRange(1, 15).Draw(t, "limit")
	return in
}

func drawOwner(t *rapid.T, owners *rapid.Generator[int]) string {
	if i := owners.Draw(t, "owner"); i >= 0 {
		return serverName(i)
	}
	return ""
}

// nextInput returns the input of the round that follows result at time now, with unchanged key loads.
func nextInput(in *Input, result *Result, now time.Duration) *Input {
	next := *in
	next.Now = now
	next.Partitions = append([]PartitionLoad(nil), in.Partitions...)
	position := make(map[keyspace.Partition]int)
	for i := range next.Partitions {
		next.Partitions[i].Owner = result.Owners[i]
		position[next.Partitions[i].ID] = i
	}
	applySign := func(overrides []Override, sign float64) {
		for _, override := range overrides {
			if i, ok := position[keyspace.PartitionOf(override.Key, in.PartitionCount)]; ok {
				next.Partitions[i].Load = max(0, next.Partitions[i].Load+sign*hotKeyLoad(in, override.Key))
			}
		}
	}
	applySign(in.Overrides, 1)
	applySign(result.Overrides, -1)
	next.Overrides = result.Overrides
	next.UnbalancedSince = result.UnbalancedSince
	return &next
}

func hotKeyLoad(in *Input, key string) float64 {
	for _, k := range in.HotKeys {
		if k.Key == key {
			return k.Load
		}
	}
	return 0
}

func serversByName(in *Input) map[string]*Server {
	servers := make(map[string]*Server)
	for i := range in.Servers {
		servers[in.Servers[i].Name] = &in.Servers[i]
	}
	return servers
}

// Guards against a partition or hot key without a live owner, moves that do not change the owner, moves with a wrong
// reason, and moves to a server that is not up.
func TestEveryUnitHasALiveOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		servers := serversByName(in)
		weight, _ := upWeights(in)
		isUp := func(name string) bool { return servers[name] != nil && servers[name].State == Up }
		result := Policy{}.Next(in)
		checkOwner := func(owner string) {
			server := servers[owner]
			draining := server != nil && server.State == Draining && server.DrainDeadline > in.Now
			if weight > 0 && !draining && !isUp(owner) {
				t.Fatalf("owner %q is not up", owner)
			}
		}
		for _, owner := range result.Owners {
			checkOwner(owner)
		}
		for _, override := range result.Overrides {
			checkOwner(override.Owner)
		}
		for _, move := range result.Moves {
			if move.From == move.To {
				t.Fatalf("move does not change the owner: %+v", move)
			}
			if move.Reason != ReasonReturn && (!isUp(move.To) || move.Reason != expectedReason(move, isUp)) {
				t.Fatalf("move to a server that is not up, or with a wrong reason: %+v", move)
			}
		}
		if len(result.Overrides) > in.OverrideLimit {
			t.Fatalf("%d overrides above the limit %d", len(result.Overrides), in.OverrideLimit)
		}
		if weight == 0 && len(result.Moves) > len(in.Overrides) {
			t.Fatalf("moves although no server is up: %+v", result.Moves)
		}
	})
}

func expectedReason(move Move, isUp func(string) bool) Reason {
	switch {
	case move.From == "":
		return ReasonInitial
	case !isUp(move.From):
		return ReasonLeave
	default:
		return ReasonBalance
	}
}

// Guards against an assignment that does not converge under constant load.
func TestAssignmentConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Servers {
			in.Servers[i].ColdSince, in.Servers[i].DrainDeadline = Warm, 0
		}
		stableRounds := 0
		for range 600 {
			result := Policy{}.Next(in)
			if stableRounds++; len(result.Moves) > 0 {
				stableRounds = 0
			}
			if stableRounds > 130 { // longer than every delay of the policy
				return
			}
			in = nextInput(in, result, in.Now+time.Second)
		}
		t.Fatalf("did not converge in 600 rounds")
	})
}

// Guards against moves of other servers' units while a server leaves, and against a drain that ends after its deadline.
func TestLeaveMovesOnlyUnitsOfLeavingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Servers {
			in.Servers[i].State = Up
		}
		in = nextInput(in, Policy{}.Next(in), in.Now)
		leaving := &in.Servers[rapid.IntRange(0, len(in.Servers)-1).Draw(t, "leaver")]
		leaving.State = rapid.SampledFrom([]State{Draining, Down}).Draw(t, "leave")
		leaving.DrainDeadline = in.Now + 3*time.Second
		if len(in.Servers) == 1 {
			return
		}
		step := DefaultTuning(in.Preference).RoundInterval
		for in.Now < leaving.DrainDeadline {
			owned := countOwned(in, leaving.Name)
			result := Policy{}.Next(in)
			for _, move := range result.Moves {
				if owned > 0 && move.Reason != ReasonReturn && move.From != leaving.Name {
					t.Fatalf("move %+v while %q leaves", move, leaving.Name)
				}
			}
			in = nextInput(in, result, in.Now+step)
		}
		if owned := countOwned(in, leaving.Name); owned > 0 {
			t.Fatalf("%d units remain on the server after the drain deadline", owned)
		}
	})
}

func countOwned(in *Input, name string) int {
	owned := 0
	for _, partition := range in.Partitions {
		if partition.Owner == name {
			owned++
		}
	}
	for _, override := range in.Overrides {
		if override.Owner == name {
			owned++
		}
	}
	return owned
}
