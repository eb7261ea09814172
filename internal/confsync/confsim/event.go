package confsim

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

type eventKind uint8

const (
	eventTick eventKind = iota
	eventHeartbeat
	eventHeartbeatArrives
	eventHeartbeatReply
	eventMessage
	eventStoreRequest
	eventStoreResult
	eventCall
)

// event is one thing that happens to a host. Events of an earlier incarnation of the host are dropped.
type event struct {
	kind        eventKind
	to          int32
	from        int32
	incarnation uint32
	state       confsync.State
	message     confsync.Message
	request     confsync.StoreRequest
	result      confsync.StoreResult
	call        func()
}

// wheel orders events by time. Events of the same step keep their order.
type wheel struct {
	slots [][]event
	step  int
}

// wheelSteps bounds how far ahead an event can be.
const wheelSteps = 1 << 14

func newWheel() *wheel {
	return &wheel{slots: make([][]event, wheelSteps)}
}

// add puts an event after delay, at least one step ahead.
func (w *wheel) add(delay time.Duration, e event) {
	steps := int((delay + resolution - 1) / resolution)
	steps = min(max(steps, 1), wheelSteps-1)
	slot := (w.step + steps) % wheelSteps
	w.slots[slot] = append(w.slots[slot], e)
}

// next moves one step ahead and returns its events. The slice is valid until the following call.
func (w *wheel) next() []event {
	w.slots[w.step%wheelSteps] = w.slots[w.step%wheelSteps][:0]
	w.step++
	return w.slots[w.step%wheelSteps]
}

func (w *wheel) now() time.Duration { return time.Duration(w.step) * resolution }
