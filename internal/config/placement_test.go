package config

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// drawKeyed draws a keyed service whose servers lie in a few cells, one zone each.
func drawKeyed(t *rapid.T) *Config {
	c := &Config{}
	s := Service{Name: "tracker", Keyed: true, Partitions: 1 << rapid.IntRange(6, 12).Draw(t, "log2 partitions")}
	for cell := range rapid.IntRange(1, 12).Draw(t, "cells") {
		zone := fmt.Sprintf("zone-%d", cell)
		c.Zones = append(c.Zones, Zone{Name: zone, Region: "r"})
		for i := range rapid.IntRange(1, 8).Draw(t, "servers") {
			weight := rapid.SampledFrom([]float64{0, 1, 1, 1, 2, 0.5}).Draw(t, "weight")
			s.Servers = append(s.Servers, Server{Name: fmt.Sprintf("s-%d-%d", cell, i), Zone: zone, Cell: zone, Weight: weight})
		}
	}
	c.Services = []Service{s}
	return c
}

// Guards against cells that get more or fewer partitions than their servers can carry, and against a placement
// that depends on the order of the servers in the document.
func TestSharesAreWithinOnePartitionOfTheWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawKeyed(t)
		s := &c.Services[0]
		placement := c.Place(s)
		cells, weights := c.cellWeights(s)
		total := 0.0
		for _, w := range weights {
			total += w
		}
		counts := make([]int, len(cells))
		for _, cell := range placement.ByPartition {
			counts[cell]++
		}
		for i, cell := range cells {
			if exact := float64(s.Partitions) * weights[i] / total; math.Abs(float64(counts[i])-exact) > 1 {
				t.Fatalf("cell %s has %d partitions, weight asks for %.2f", cell, counts[i], exact)
			}
		}
		s.Servers = rapid.Permutation(s.Servers).Draw(t, "order")
		if !slices.Equal(placement.ByPartition, c.Place(s).ByPartition) {
			t.Fatal("placement depends on the order of the servers")
		}
	})
}

// Guards against a placement that moves keys between cells whose weight did not change. Moves between other cells
// come from the random deviation of single shares, so their bound grows with the root of a share.
func TestAddingAServerMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawKeyed(t)
		after := before.Clone()
		s := &after.Services[0]
		last := s.Servers[rapid.IntRange(0, len(s.Servers)-1).Draw(t, "beside")]
		s.Servers = append(s.Servers, Server{Name: "new", Zone: last.Zone, Cell: last.Cell})
		for _, moves := range before.Diff(after).Moves {
			share := float64(s.Partitions) / float64(len(before.Zones))
			if limit := float64(moves.Least) + 2*math.Sqrt(share) + float64(len(before.Zones)); float64(moves.Moved) > limit {
				t.Fatalf("%d partitions move, least possible %d, limit %.0f", moves.Moved, moves.Least, limit)
			}
		}
	})
}

// Guards against a change of the placement function: gateways of two versions would send keys to different cells.
func TestPlacementOfAFixedServiceStaysTheSame(t *testing.T) {
	c := &Config{Zones: []Zone{{Name: "a"}, {Name: "b"}, {Name: "c", Lost: true}}}
	s := &Service{Name: "tracker", Partitions: 64, Servers: []Server{
		{Zone: "a", Cell: "a-c01"}, {Zone: "b", Cell: "b-c01", Weight: 2}, {Zone: "c", Cell: "c-c01"}}}
	placement := c.Place(s)
	digest := xxhash.New()
	for _, cell := range placement.ByPartition {
		_, _ = digest.Write([]byte{byte(cell)})
	}
	if got, want := digest.Sum64(), uint64(0x68fa475eedf2faad); got != want || len(placement.Cells) != 2 {
		t.Errorf("placement over %v has digest %#x, want %#x", placement.Cells, got, want)
	}
	if empty := (&Config{Zones: []Zone{{Name: "c", Lost: true}}}).Place(&Service{Partitions: 4, Servers: s.Servers[2:]}); empty.Cell(3) != "" {
		t.Error("a service without servers in service has a cell")
	}
}

// BenchmarkPlace measures a placement at the target size, in one round over all partitions and cells.
func BenchmarkPlace(b *testing.B) {
	c, s := &Config{}, &Service{Name: "tracker", Partitions: 65536}
	for i := range 917 {
		s.Servers = append(s.Servers, Server{Cell: fmt.Sprintf("cell-%d", i)})
	}
	for b.Loop() {
		c.Place(s)
	}
}
