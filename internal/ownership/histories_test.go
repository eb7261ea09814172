package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against two owners of a key and against keys that stay without an owner. Orders are lost or take effect up to
// 12 s late, writes are executed late or their responses are lost, replaced assigners keep sending, and servers
// restart.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "faulty"), false)
	})
}

// Guards against the same if a restarted server keeps its address and cannot tell that an order was meant for its
// former incarnation.
func TestRandomHistoriesWithSameAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "faulty"), true)
	})
}

// Guards against two owners of a key after the store came back from an earlier copy, so that the recorded table lacks the
// last moves, also if another process is elected then.
func TestRandomHistoriesWithRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "faulty"), false)
		h.restores = true
		h.run(t)
	})
}

// Guards against two owners of a key after a process has ended whose orders the network held back.
func TestRandomHistoriesWithOrdersHeldBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "faulty"), false)
		h.holdsBack = true
		h.run(t)
	})
}

// Guards against regressions of faults that random histories found: a second grant by an assigner elected earlier, a
// fencing grant to a former holder while another one, or the new owner, may hold the keys, and a renewal for an
// incarnation that its successor accepts.
func TestHistoriesThatFailed(t *testing.T) {
	for _, test := range []struct {
		seed        uint64
		faultRate   float64
		sameAddress bool
	}{
		{1, 0.5, false}, {3, 0.5, false}, {0x5d, 0.000244140625, false}, {0x15226, 0.5, false}, {0x16e14, 0, false},
		{0, 0.03125, true}, {3, 0.5, true}, {0x15226, 0.5, true}, {0x16e14, 0, true},
		{0x110775e7ef, 0.39992189407348633, true}, {0x89619a96929a5, 0, true},
	} {
		t.Run(fmt.Sprint(test.seed), func(t *testing.T) { runHistory(t, test.seed, test.faultRate, test.sameAddress) })
	}
}

// runHistory runs 40 s with random actions and faults, and then checks that the system recovers.
func runHistory(t testFailer, seed uint64, faultRate float64, sameAddress bool) {
	newHistory(seed, faultRate, sameAddress).run(t)
}

func newHistory(seed uint64, faultRate float64, sameAddress bool) *history {
	h := &history{
		random:      rand.New(rand.NewPCG(seed, 1)),
		processes:   make(map[int]*simProcess),
		faultRate:   faultRate,
		sameAddress: sameAddress,
	}
	for i := range 4 {
		h.servers = append(h.servers, &simServer{
			holder: Holder{ID: fmt.Sprint("s", i), Addr: fmt.Sprint(i)}, up: true, highestTokens: make(map[int]Token),
		})
	}
	return h
}

func (h *history) run(t testFailer) {
	h.elect()
	for range int(40 * time.Second / tickInterval) {
		if h.random.IntN(8) == 0 {
			h.randomAction()
		}
		if err := h.advance(); err != nil {
			t.Fatal(err)
		}
	}
	h.checkRecovery(t)
}

// testFailer is implemented by *testing.T and *rapid.T.
type testFailer interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}
