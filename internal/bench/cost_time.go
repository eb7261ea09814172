package bench

import (
	"math/rand/v2"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// assignInput returns an input with random partition loads between 1 and 2, in which every partition has an owner.
func assignInput(seed uint64, partitions, servers int) *assign.Input {
	random := rand.New(rand.NewPCG(seed, 3))
	input := &assign.Input{PartitionCount: partitions, Preference: config.PreferBalance}
	for i := range servers {
		input.Servers = append(input.Servers, assign.Server{Name: serverName(i), State: assign.Up, ColdSince: assign.Warm})
	}
	for id := range partitions {
		input.Partitions = append(input.Partitions, assign.PartitionLoad{ID: keyspace.Partition(id), Load: 1 + random.Float64()})
	}
	result := assign.Policy{}.Next(input)
	for id, owner := range result.Owners {
		input.Partitions[id].Owner = owner
	}
	return input
}

// serverLossRoundMillis returns the CPU time, in milliseconds, of the assignment round after the loss of a server.
func serverLossRoundMillis(seed uint64, partitions, servers int) float64 {
	input := assignInput(seed, partitions, servers)
	input.Servers[0].State = assign.Down
	return minCPUMillis(func() { assign.Policy{}.Next(input) })
}

func assignTimeByPartitions(seed uint64) costSeries {
	s := costSeries{name: "assign-time-by-partitions", xLabel: "partitions", yUnit: "ms"}
	for _, partitions := range []int{1024, 4096, 16384, 32768, 65536} {
		s.points = append(s.points, Point{X: float64(partitions), Y: serverLossRoundMillis(seed, partitions, 100)})
	}
	return s
}

func assignTimeByServers(seed uint64) costSeries {
	s := costSeries{name: "assign-time-by-servers", xLabel: "servers", yUnit: "ms"}
	for _, servers := range []int{10, 100, 250, 500, 1000} {
		s.points = append(s.points, Point{X: float64(servers), Y: serverLossRoundMillis(seed, 65536, servers)})
	}
	return s
}

// placementTime measures the mapping of all partitions to cells, which a gateway computes for each configuration.
func placementTime() costSeries {
	s := costSeries{name: "placement-time", xLabel: "cells", yUnit: "ms"}
	for _, cells := range []int{1, 16, 64, 256} {
		document := syntheticConfig(cells, 12, 65536, cells*10)
		milliseconds := minCPUMillis(func() { document.Place(&document.Services[0]) })
		s.points = append(s.points, Point{X: float64(cells), Y: milliseconds})
	}
	return s
}
