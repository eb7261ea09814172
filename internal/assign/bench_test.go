package assign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// targetSizeInput returns an unplaced input with MaxOverrides hot keys. The design targets 65,536 partitions,
// 1,000 servers and 1,024 overrides.
func targetSizeInput(partitions, servers int) *Input {
	random := rand.New(rand.NewPCG(1, 2))
	in := &Input{PartitionCount: partitions, Preference: config.PreferBalance}
	for i := range servers {
		in.Servers = append(in.Servers, Server{Name: serverName(i), State: Up, ColdSince: Warm})
	}
	for id := range partitions {
		in.Partitions = append(in.Partitions, PartitionLoad{ID: keyspace.Partition(id), Load: 1 + random.Float64()})
	}
	for i := range MaxOverrides {
		in.HotKeys = append(in.HotKeys, KeyLoad{Key: fmt.Sprintf("key-%d", i), Load: 10 + random.Float64()})
	}
	return in
}

func BenchmarkNext(b *testing.B) {
	cases := map[string]func(in *Input){
		"unplaced": func(in *Input) {
			for i := range in.Partitions {
				in.Partitions[i].Owner = ""
			}
		},
		"settled": func(*Input) {},
		"leave":   func(in *Input) { in.Servers[7].State = Down },
		"join": func(in *Input) {
			in.Servers = append(in.Servers, Server{Name: "joiner", State: Up, ColdSince: Warm})
		},
		"skewed": func(in *Input) {
			random := rand.New(rand.NewPCG(3, 4))
			for i := range in.Partitions {
				in.Partitions[i].Load *= random.ExpFloat64() * random.ExpFloat64()
			}
		},
	}
	for _, name := range []string{"unplaced", "settled", "leave", "join", "skewed"} {
		b.Run(name, func(b *testing.B) {
			in := targetSizeInput(65536, 1000)
			in = nextInput(in, Policy{}.Next(in), 1)
			cases[name](in)
			b.ReportAllocs()
			for b.Loop() {
				Policy{}.Next(in)
			}
		})
	}
}

// BenchmarkSketchObserve measures the cost of the sketch per request. Tracked keys are counted in place; any other key
// replaces the lightest counter.
func BenchmarkSketchObserve(b *testing.B) {
	for _, name := range []string{"zipf", "uniform"} {
		b.Run(name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			zipf := rand.NewZipf(random, 1.1, 1, 99_999)
			keys := make([]string, 1<<16)
			for i := range keys {
				rank := random.Uint64N(100_000)
				if name == "zipf" {
					rank = zipf.Uint64()
				}
				keys[i] = fmt.Sprintf("key-%d", rank)
			}
			sketch := NewSketch(256, 500*time.Millisecond)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				sketch.Observe(keys[i%len(keys)], 1)
				i++
			}
		})
	}
}
