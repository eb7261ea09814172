package confsim

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
)

type eventKind uint8

const (
	eventTick eventKind = iota
	eventHeartbeatDue
	eventHeartbeatReceived
	eventHeartbeatReply
	eventMessage
	eventStoreRequest
	eventStoreResult
	eventCallback
)

// event is a scheduled event for a host. Events for an earlier incarnation of the host are dropped.
type event struct {
	kind        eventKind
	to          int32
	from        int32
	incarnation uint32
	state       confsync.State
	message     confsync.Message
	request     confsync.StoreRequest
	result      confsync.StoreResult
	callback    func()
}

// timingWheel schedules events by time. Events of the same time step are delivered in the order of their scheduling.
type timingWheel struct {
	slots [][]event
	step  int
}

// wheelSlots is the number of time steps in the wheel. It bounds the delay of an event.
const wheelSlots = 1 << 14

func newTimingWheel() *timingWheel {
	return &timingWheel{slots: make([][]event, wheelSlots)}
}

// add schedules an event after delay, at least one step ahead.
func (w *timingWheel) add(delay time.Duration, e event) {
	steps := int((delay + timeStep - 1) / timeStep)
	steps = min(max(steps, 1), wheelSlots-1)
	slot := (w.step + steps) % wheelSlots
	w.slots[slot] = append(w.slots[slot], e)
}

// next advances by one step and returns the events of that step. The slice is valid until the next call.
func (w *timingWheel) next() []event {
	w.slots[w.step%wheelSlots] = w.slots[w.step%wheelSlots][:0]
	w.step++
	return w.slots[w.step%wheelSlots]
}

func (w *timingWheel) now() time.Duration { return time.Duration(w.step) * timeStep }
