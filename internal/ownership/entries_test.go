package ownership

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// firstFailure remembers why a history failed.
type firstFailure struct{ reason string }

func (f *firstFailure) Fatal(args ...any) {
	f.reason = fmt.Sprint(args...)
	runtime.Goexit()
}

func (f *firstFailure) Fatalf(format string, args ...any) { f.Fatal(fmt.Sprintf(format, args...)) }

// historyTimeout is far longer than a history takes.
const historyTimeout = 20 * time.Second

// Guards against two incarnations that hold a key, and against planning that does not end, whatever becomes of the entries of
// servers and of orders: entries arrive late by up to 12 s, out of order and repeatedly, from several incarnations at two
// addresses a server; orders are lost, late and doubled; a replaced process goes on. Each history has 3,400 steps.
func TestHistoriesWithEntries(t *testing.T) {
	const histories = 60
	for seed := range uint64(histories) {
		faultRate := float64(seed%6) / 10
		failure := &firstFailure{}
		done := make(chan struct{})
		go func() {
			defer close(done)
			h := newHistory(seed, faultRate, false)
			h.useEntries()
			h.run(failure)
		}()
		select {
		case <-done:
		case <-time.After(historyTimeout):
			t.Fatalf("history %d does not end", seed)
		}
		if failure.reason != "" {
			t.Errorf("history %d: %s", seed, failure.reason)
		}
	}
}

// useEntries lets the processes learn of servers from the entries in a store.
func (h *history) useEntries() {
	h.entries = newEntryStore()
	for _, s := range h.servers {
		s.holder.Addr = s.holder.ID + "/0"
		h.writeEntry(s)
	}
}
