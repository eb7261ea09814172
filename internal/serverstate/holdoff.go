package serverstate

import "time"

// rampPeriod is how long after its first answer a server that held requests off is given fewer requests than it has slots,
// like one that warms up.
const rampPeriod = 2 * time.Second

// HoldOff is a time for which a server wants no requests from this gateway. After it, the gateways come back one after the
// other, each with one request at first, and with more once that is answered. The zero value is no hold-off.
type HoldOff struct {
	// until is the end of the time that the server named. resumeAt is when this gateway sends the next request.
	until, resumeAt time.Duration
	// answeredAt is when a request that was sent after resumeAt was answered, or 0.
	answeredAt time.Duration
}

// extend applies a time that the server names now. A shorter one does not end an earlier one sooner: the server may still
// count on that.
func (h *HoldOff) extend(now, length, spread time.Duration, position float64) {
	end := now + length
	if end <= h.until {
		return
	}
	h.until = end
	h.resumeAt = end + time.Duration(position*float64(min(spread, length)))
	h.answeredAt = 0
}

// answered records a response that names no hold-off.
func (h *HoldOff) answered(sentAt, now time.Duration) {
	if h.until > 0 && h.answeredAt == 0 && sentAt >= h.resumeAt {
		h.answeredAt = now
	}
}

// Active reports whether the server receives no requests now.
func (h *HoldOff) Active(now time.Duration) bool { return now < h.resumeAt }

// Left returns how long the server receives no requests from now on.
func (h *HoldOff) Left(now time.Duration) time.Duration { return max(0, h.resumeAt-now) }

// Limit returns how many requests this gateway may have at a server with this many slots, and whether that is limited.
func (h *HoldOff) Limit(now time.Duration, slots int) (int, bool) {
	switch {
	case h.until == 0:
		return 0, false
	case h.Active(now):
		return 0, true
	case h.answeredAt == 0:
		return 1, true
	case now-h.answeredAt >= rampPeriod:
		return 0, false
	}
	share := float64(now-h.answeredAt) / float64(rampPeriod)
	return 1 + int(share*float64(slots)), true
}
