package bench

import (
	"math/rand/v2"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// assignInput returns a settled input with skewed loads and hot keys.
func assignInput(seed uint64, partitions, servers int) *assign.Input {
	random := rand.New(rand.NewPCG(seed, 3))
	in := &assign.Input{PartitionCount: partitions, Preference: config.PreferBalance}
	for i := range servers {
		in.Servers = append(in.Servers, assign.Server{Name: serverName(i), State: assign.Up, ColdSince: assign.Warm})
	}
	for id := range partitions {
		in.Partitions = append(in.Partitions, assign.PartitionLoad{ID: keyspace.Partition(id), Load: 1 + random.Float64()})
	}
	result := assign.Policy{}.Next(in)
	for id, owner := range result.Owners {
		in.Partitions[id].Owner = owner
	}
	return in
}

// lossTime returns the milliseconds of the round after the loss of a server.
func lossTime(seed uint64, partitions, servers int) float64 {
	in := assignInput(seed, partitions, servers)
	in.Servers[0].State = assign.Down
	return processorMillis(func() { assign.Policy{}.Next(in) })
}

func assignTimeByPartitions(seed uint64) slope {
	s := slope{name: "assign-time-by-partitions", xLabel: "partitions", yUnit: "ms"}
	for _, partitions := range []int{1024, 4096, 16384, 32768, 65536} {
		s.points = append(s.points, Point{X: float64(partitions), Y: lossTime(seed, partitions, 100)})
	}
	return s
}

func assignTimeByServers(seed uint64) slope {
	s := slope{name: "assign-time-by-servers", xLabel: "servers", yUnit: "ms"}
	for _, servers := range []int{10, 100, 250, 500, 1000} {
		s.points = append(s.points, Point{X: float64(servers), Y: lossTime(seed, 65536, servers)})
	}
	return s
}

// placementTime measures the map of all partitions to cells, which a gateway computes for each configuration.
func placementTime() slope {
	s := slope{name: "placement-time", xLabel: "cells", yUnit: "ms"}
	for _, cells := range []int{1, 16, 64, 256} {
		document := syntheticConfig(cells, 12, 65536, cells*10)
		milliseconds := processorMillis(func() { document.Place(&document.Services[0]) })
		s.points = append(s.points, Point{X: float64(cells), Y: milliseconds})
	}
	return s
}
