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
	s := Service{Name: "tracker", Keyed: true, Partitions: 1 << rapid.IntRange(6, 10).Draw(t, "log2 partitions")}
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

// Guards against a computed placement that moves keys between cells whose weight did not change. Moves between other
// cells come from the random deviation of single shares, so their bound grows with the root of a share.
func TestComputedPlacementsMoveLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawKeyed(t)
		after := before.Clone()
		s := &after.Services[0]
		last := s.Servers[rapid.IntRange(0, len(s.Servers)-1).Draw(t, "beside")]
		s.Servers = append(s.Servers, Server{Name: "new", Zone: last.Zone, Cell: last.Cell})
		moves := comparePlacements("s", before.Place(&before.Services[0]), after.Place(s))
		share := float64(s.Partitions) / float64(len(before.Zones))
		if limit := float64(moves.MinMoves) + 2*math.Sqrt(share) + float64(len(before.Zones)); float64(moves.Moved) > limit {
			t.Fatalf("%d partitions move, least possible %d, limit %.0f", moves.Moved, moves.MinMoves, limit)
		}
	})
}

// Guards against accepts that move more partitions than the change of weights requires, and against shares that drift
// over many revisions.
func TestAcceptsMoveTheLeastPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := drawKeyed(t)
		t.Repeat(map[string]func(*rapid.T){"change": func(t *rapid.T) {
			next := current.Clone()
			s := &next.Services[0]
			at := rapid.IntRange(0, len(s.Servers)-1).Draw(t, "server")
			switch rapid.SampledFrom([]string{"add", "remove", "weight", "lost"}).Draw(t, "change") {
			case "add":
				s.Servers = append(s.Servers, Server{Name: fmt.Sprint("n", len(s.Servers)), Zone: s.Servers[at].Zone, Cell: s.Servers[at].Cell})
			case "remove":
				s.Servers = slices.Delete(s.Servers, at, min(at+1, len(s.Servers)-1))
			case "weight":
				s.Servers[at].Weight = rapid.Float64Range(0.1, 9).Draw(t, "weight")
			case "lost":
				zone := rapid.IntRange(0, len(next.Zones)-1).Draw(t, "zone")
				next.Zones[zone].Lost = !next.Zones[zone].Lost
			}
			if cells, _ := next.cellWeights(s); len(cells) == 0 {
				return
			}
			announced := current.Diff(next).Moves
			next.UpdatePlacements(current)
			if moves := current.moves(next); !slices.Equal(announced, moves) || len(moves) > 0 && moves[0].Moved != moves[0].MinMoves {
				t.Fatalf("moves %v, announced %v", moves, announced)
			}
			_, weights := next.cellWeights(s)
			if !next.Place(s).isExact(weights) {
				t.Fatalf("shares %v for weights %v", next.Place(s).counts(), weights)
			}
			checkLeast(t, current.Place(&current.Services[0]), next.Place(s), weights)
			current = next
		}})
	})
}

// checkLeast compares the moves with those that shares without rounding would need.
func checkLeast(t *rapid.T, before, after *Placement, weights []float64) {
	total, limit := 0.0, float64(len(weights))
	for _, w := range weights {
		total += w
	}
	held := make(map[string]int)
	for i, count := range before.counts() {
		held[before.Cells[i]] = count
	}
	for i, cell := range after.Cells {
		limit += max(0, float64(len(after.ByPartition))*weights[i]/total-float64(held[cell]))
	}
	if moves := comparePlacements("s", before, after); float64(moves.Moved) > limit {
		t.Fatalf("%d partitions move, shares need %.1f", moves.Moved, limit)
	}
}

// Guards against a stored placement that is used although it does not fit.
func TestPlaceIgnoresStoredPlacementsThatDoNotFit(t *testing.T) {
	c := small()
	s := &c.Services[0]
	computed := c.Place(s)
	swapped := &Placement{Cells: computed.Cells, ByPartition: slices.Clone(computed.ByPartition)}
	for i := range swapped.ByPartition {
		swapped.ByPartition[i] = 1 - swapped.ByPartition[i]
	}
	fits := newStoredPlacement("tracker", swapped)
	short, outside, uneven, other := fits, fits, fits, fits
	short.Partitions = short.Partitions[4:]
	outside.Partitions = "AAk" + outside.Partitions[3:]
	uneven.Partitions = newStoredPlacement("", &Placement{ByPartition: make([]uint16, 16)}).Partitions
	other.Cells = []string{"a-c01", "c-c01"}
	for i, stored := range []StoredPlacement{fits, short, outside, uneven, other, {Service: "tracker", Cells: fits.Cells, Partitions: "-"}} {
		c.Placements = []StoredPlacement{stored}
		if used := !slices.Equal(c.Place(s).ByPartition, computed.ByPartition); used != (i == 0) {
			t.Errorf("placement %d used: %v", i, used)
		}
	}
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
