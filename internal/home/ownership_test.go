package home

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// movePartition moves a partition between two servers while requests are executed, servers freeze and clients give up.
// It returns the overlapping executions. If beforeRelease is true, the partition moves before its release is reported.
func movePartition(t *testing.T, seed uint64, fenced, beforeRelease bool) (overlaps []string) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		checker := standin.NewExecutionChecker()
		servers := make([]*standin.Server, 2)
		dispatchers := make([]*Dispatcher, 2)
		for i := range servers {
			options := standin.MoraviaOptions(fmt.Sprint("s", i), fenced, seed)
			options.Observer, options.RunTime = checker, 50*time.Millisecond
			servers[i] = standin.New(options)
			dispatchers[i] = Open(Config{
				Keyed: true, Fenced: fenced, Slots: 3, Partitions: 1,
				LeaseEnd: func() time.Time { return time.Now().Add(HomeLease) },
			}, servers[i].Client())
		}
		owner, seq, end := 0, uint64(1), time.Now().Add(15*time.Second)
		assign := func(releasing bool) {
			dispatchers[owner].Apply(Assignment{Owned: []OwnedScope{{Token: fence.Token{Seq: seq}, Releasing: releasing}}})
		}
		assign(false)
		for i := range 2 {
			go func() { // clients are unaware of moves
				h := &harness{T: t, dispatcher: dispatchers[i], lastID: uint16(i) << 15}
				for time.Now().Before(end) {
					time.Sleep(5 * time.Millisecond)
					go h.do(t.Context(), h.request(func(r *backend.Request) { r.Deadline = time.Now().Add(time.Second) }))
				}
			}()
		}
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			if random.IntN(2) == 0 {
				frozen := servers[owner]
				frozen.Freeze()
				time.AfterFunc(time.Duration(random.IntN(2000))*time.Millisecond, frozen.Thaw)
			}
			assign(true)
			for !beforeRelease && len(dispatchers[owner].Report().Released) == 0 {
				time.Sleep(time.Millisecond)
			}
			dispatchers[owner].Apply(Assignment{})
			owner, seq = 1-owner, seq+1
			assign(false)
		}
		time.Sleep(10 * time.Second)
		for i := range servers {
			dispatchers[i].Close()
			servers[i].Close()
		}
		time.Sleep(2 * time.Minute) // net/http notices the closed connections before the bubble ends
		if n := checker.Executions("s"); n < 250 || len(checker.Duplicates()) > 0 {
			t.Errorf("%d executions, repeated %v", n, checker.Duplicates())
		}
		overlaps = checker.Overlaps()
	})
	return overlaps
}

// TestOneOwner guards against two servers that execute requests for a key at the same time, and against a check that
// does not detect it.
func TestOneOwner(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for seed := range uint64(2) {
			if got := movePartition(t, seed, fenced, false); len(got) > 0 {
				t.Errorf("fenced=%v, seed %d: %d overlaps, first %s", fenced, seed, len(got), got[0])
			}
		}
		if got := movePartition(t, 1, fenced, true); len(got) == 0 {
			t.Errorf("fenced=%v: a move before the release was not detected", fenced)
		}
	}
}
