package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

type fixedLoad []float64

func (l fixedLoad) Rate(key int) float64 { return l[key] }

// benchmarkPlan measures planning for a number of servers under an uneven load.
func benchmarkPlan(b *testing.B, servers int) {
	const keys = 65536
	random := rand.New(rand.NewPCG(1, 2))
	load := make(fixedLoad, keys)
	for range servers * 25 {
		load[int(random.ExpFloat64()*keys/4)%keys]++
	}
	planner := NewPlanner(PlannerSettings{Keys: keys, Tolerance: 1.25, MaxMoves: 8, MinRate: 5})
	var candidates []Candidate
	var rows []Row
	for i := range servers {
		holder := Holder{ID: fmt.Sprint("s", i)}
		candidates = append(candidates, Candidate{Holder: holder, Capacity: 50})
		for part := range 3 {
			n := i*3 + part
			rows = append(rows, Row{Keys: Keys{First: n * keys / (3 * servers), Last: (n+1)*keys/(3*servers) - 1}, Owner: holder, Confirmed: true})
		}
	}
	for b.Loop() {
		planner.Plan(rows, candidates, load)
	}
}

func BenchmarkPlan16(b *testing.B)  { benchmarkPlan(b, 16) }
func BenchmarkPlan233(b *testing.B) { benchmarkPlan(b, 233) }
