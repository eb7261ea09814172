package bench

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/assign"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

func assignMemory(seed uint64) costSeries {
	s := costSeries{name: "assign-input-memory", xLabel: "partitions", yUnit: "bytes"}
	for _, partitions := range []int{1024, 16384, 65536} {
		bytes := heapGrowth(func() any { return assignInput(seed, partitions, 100) })
		s.points = append(s.points, Point{X: float64(partitions), Y: bytes})
	}
	return s
}

func trackerMemory() costSeries {
	s := costSeries{name: "tracker-memory", xLabel: "partitions", yUnit: "bytes"}
	for _, partitions := range []int{1024, 16384, 65536} {
		bytes := heapGrowth(func() any { return assign.NewTracker(partitions, assign.DefaultSmoothing()) })
		s.points = append(s.points, Point{X: float64(partitions), Y: bytes})
	}
	return s
}

// sketchMemory measures the sketches of many homes, each filled with one key per counter.
func sketchMemory() costSeries {
	s := costSeries{name: "sketch-memory", xLabel: "sketches", yUnit: "bytes"}
	for _, count := range []int{10, 50, 100} {
		bytes := heapGrowth(func() any {
			sketches := make([]*assign.Sketch, count)
			for i := range sketches {
				sketches[i] = assign.NewSketch(sketchSize, sketchHalfLife)
				for key := range sketchSize {
					sketches[i].Observe(fmt.Sprintf("parcel-%d-%d", i, key), 1)
				}
			}
			return sketches
		})
		s.points = append(s.points, Point{X: float64(count), Y: bytes})
	}
	return s
}

// snapshotMemory measures the ownership view of one service. The entries share the string of the server name, as in
// a running gateway.
func snapshotMemory() costSeries {
	s := costSeries{name: "snapshot-memory", xLabel: "partitions", yUnit: "bytes"}
	for _, partitions := range []int{1024, 16384, 65536} {
		name := serverName(1)
		bytes := heapGrowth(func() any {
			view := &cell.ServiceView{Owners: make([]cell.Owner, partitions)}
			for id := range view.Owners {
				view.Owners[id] = cell.Owner{Server: name, Token: fence.Token{Generation: 1, Term: 1, Seq: uint64(id)}}
			}
			return view
		})
		s.points = append(s.points, Point{X: float64(partitions), Y: bytes})
	}
	return s
}

func overrideMemory() costSeries {
	s := costSeries{name: "override-memory", xLabel: "overrides", yUnit: "bytes"}
	for _, count := range []int{128, 512, assign.MaxOverrides} {
		bytes := heapGrowth(func() any {
			overrides := make(map[string]cell.Owner, count)
			for key := range count {
				overrides[fmt.Sprintf("parcel-%08d", key)] = cell.Owner{Server: "server-0001"}
			}
			return overrides
		})
		s.points = append(s.points, Point{X: float64(count), Y: bytes})
	}
	return s
}
