package relay

import (
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Guards against request counts that differ from those of the elected gateway, also where a server has more than a digit tells.
func TestLoadVector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.MapOf(rapid.Uint32Range(1, 40), rapid.IntRange(1, 300)).Draw(t, "loads")
		idle := rapid.SliceOf(rapid.Uint32Range(1, 60)).Draw(t, "idle")
		for server := range loads {
			idle = append(idle, server)
		}
		index := DecodeIndex(EncodeIndex(NewIndex(3, idle)))
		got, err := DecodeLoadVector(index, EncodeLoadVector(index, loads))
		if err != nil || !maps.Equal(got, loads) {
			t.Fatalf("%v, %v, want %v", got, err, loads)
		}
	})
}

// Guards against counts that are read by another index than they were written with, and against a panic on a vector that is
// too short.
func TestInvalidVectors(t *testing.T) {
	index := NewIndex(2, []uint32{5, 6, 7})
	cases := []struct {
		name    string
		index   *Index
		message *wire.LoadVector
		want    error
	}{
		{"no index", nil, &wire.LoadVector{Index: 2, Digits: []byte{1, 1}}, ErrUnknownIndex},
		{"other index", index, &wire.LoadVector{Index: 1, Digits: []byte{1, 1}}, ErrUnknownIndex},
		{"too short", index, &wire.LoadVector{Index: 2, Digits: []byte{1}}, ErrInvalidVector},
		{"no excess", index, &wire.LoadVector{Index: 2, Digits: []byte{15, 0}}, ErrInvalidVector},
		{"huge excess", index, &wire.LoadVector{Index: 2, Digits: []byte{15, 0, 255, 255, 255, 255, 255, 255, 1}}, ErrInvalidVector},
	}
	for _, c := range cases {
		if _, err := DecodeLoadVector(c.index, c.message); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if _, err := DecodeRunTimeVector(nil, &wire.RunTimeVector{Index: 2}); !errors.Is(err, ErrUnknownIndex) {
		t.Errorf("run times: %v", err)
	}
	if got, err := DecodeRunTimeVector(index, &wire.RunTimeVector{Index: 2, Means: []byte{0, 9, 9, 9, 9}}); err != nil || len(got) != 2 {
		t.Errorf("run times: %v, %v", got, err)
	}
}

// Guards against run times that the encoding changes by more than they can be measured.
func TestRunTimes(t *testing.T) {
	for runTime := 200 * time.Microsecond; runTime < 10*time.Second; runTime += runTime / 7 {
		got := decodeRunTime(encodeRunTime(runTime))
		if ratio := float64(got) / float64(runTime); ratio < 0.97 || ratio > 1.03 {
			t.Errorf("%v is received as %v", runTime, got)
		}
	}
	runTimes := map[uint32]RunTime{1: {Mean: shortestRunTime, Measurements: 20}, 2: {}}
	if got := DecodeRunTimes(EncodeRunTimes(runTimes)); !maps.Equal(got, runTimes) {
		t.Errorf("%v, want %v", got, runTimes)
	}
	changed := ChangedRunTimes(runTimes, map[uint32]RunTime{1: {Mean: 2 * shortestRunTime, Measurements: 20}, 2: {}})
	if len(changed) != 1 || changed[1].Mean != 2*shortestRunTime {
		t.Errorf("changed %v", changed)
	}
}

// Guards against run times that are lost because a later report has only those that changed.
func TestRunTimesOfSeveralReports(t *testing.T) {
	a := NewAggregator(func() time.Duration { return 0 })
	for server := range uint32(2) {
		report := &wire.RelayUp{RunTimes: EncodeRunTimes(map[uint32]RunTime{server: {Mean: shortestRunTime, Measurements: 1}})}
		a.Report("g", 1, report)
	}
	if got := a.RunTimes(); len(got) != 2 {
		t.Errorf("%v", got)
	}
	a.Report("g", 1, &wire.RelayUp{AllRunTimes: true})
	if got := a.RunTimes(); len(got) != 0 {
		t.Errorf("%v after a report of all, which has none", got)
	}
}
