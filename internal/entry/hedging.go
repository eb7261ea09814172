package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/bytebudget"
	"github.com/sapphireplank/sapphireplank/internal/dispatch"
	"github.com/sapphireplank/sapphireplank/internal/serverconn"
	"github.com/sapphireplank/sapphireplank/internal/suspicion"
)

// requestCopy is one of the copies of a hedged request.
type requestCopy struct {
	reservation *dispatch.Reservation
	// memory accounts for the body of its response.
	memory   *bytebudget.Account
	cancel   context.CancelFunc
	limit    time.Duration
	started  time.Duration
	response *serverconn.Response
	err      error
}

// usable reports whether the copy has the response for the client.
func (c *requestCopy) usable() bool { return classify(c.response, c.err) == resultResponse }

// mayHedge reports whether a further copy of the request may be sent before the first one has failed.
func (f *forwarder) mayHedge() bool {
	h := f.handler
	return f.route.Idempotent && f.request.rest == nil && h.Hedges.enabled(f.acquireRequest.Service) &&
		f.sends+1 < f.route.MaxAttempts && !h.Dispatcher.HasOneServer(&f.acquireRequest)
}

// sendHedged sends the request, and sends a second copy if the first takes longer than nearly all requests do. The first usable
// response counts, and the other copy is canceled.
func (f *forwarder) sendHedged(ctx context.Context, reservation *dispatch.Reservation) {
	service := f.acquireRequest.Service
	delay, hedged := f.handler.Hedges.begin(service)
	done := make(chan *requestCopy, 2)
	copies := []*requestCopy{f.startCopy(ctx, reservation, done)}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	if !hedged {
		timer.Stop()
	}
	for open := 1; open > 0; {
		select {
		case finished := <-done:
			open--
			f.finishCopy(ctx, finished)
			if finished.usable() {
				f.handler.Hedges.observe(service, f.handler.Clock()-copies[0].started)
				f.abandonCopies(copies, finished, done, open)
				return
			}
		case <-timer.C:
			if second := f.secondCopy(ctx, reservation, done); second != nil {
				copies = append(copies, second)
				open++
			}
		}
	}
}

// startCopy sends a copy of the request, and delivers it on done once it has ended.
func (f *forwarder) startCopy(ctx context.Context, reservation *dispatch.Reservation, done chan<- *requestCopy) *requestCopy {
	left := f.timeLeft()
	c := &requestCopy{
		reservation: reservation, memory: f.request.memory.Sibling(), limit: left + lateResponseMargin, started: f.handler.Clock(),
	}
	copyCtx, cancel := context.WithTimeout(ctx, c.limit)
	c.cancel = cancel
	outgoing := f.outgoingRequest(left, reservation)
	outgoing.Memory = c.memory
	go func() {
		c.response, c.err = reservation.Pool.Do(copyCtx, outgoing)
		done <- c
	}()
	return c
}

// secondCopy sends a second copy, if a server has a free slot for it, and the limits of hedged requests and of retries allow it.
func (f *forwarder) secondCopy(ctx context.Context, first *dispatch.Reservation, done chan<- *requestCopy) *requestCopy {
	h, service := f.handler, f.acquireRequest.Service
	if h.ShuttingDown() || f.timeLeft() < first.Expected || !h.Hedges.take(service) {
		return nil
	}
	request := f.acquireRequest
	request.Tried = append(request.Tried[:len(request.Tried):len(request.Tried)], first.Server.Incarnation())
	reservation := h.Dispatcher.AcquireSpare(&request)
	if reservation == nil {
		h.Hedges.giveBack(service)
		return nil
	}
	if !f.takeRetry() {
		h.Hedges.giveBack(service)
		h.Dispatcher.Done(reservation, dispatch.Result{NotSent: true})
		return nil
	}
	h.Metrics.CountHedge(hedgeSent)
	f.record(decision{message: decisionHedged, reservation: reservation})
	return f.startCopy(ctx, reservation, done)
}

// finishCopy records the result of a copy.
func (f *forwarder) finishCopy(ctx context.Context, c *requestCopy) {
	c.cancel()
	f.request.memory.Merge(c.memory)
	f.last, f.lastResult, f.lastErr = c.response, classify(c.response, c.err), c.err
	f.report(c.reservation, c.limit, c.err, c.started, ctx.Err() != nil)
}

// abandonCopies cancels the copies other than the one whose response counts. Their servers are not blamed.
func (f *forwarder) abandonCopies(copies []*requestCopy, winner *requestCopy, done <-chan *requestCopy, open int) {
	if len(copies) > 1 && winner == copies[1] {
		f.handler.Metrics.CountHedge(hedgeWon)
	}
	for _, c := range copies {
		if c != winner {
			c.cancel()
		}
	}
	if open == 0 {
		return
	}
	f.sends += open
	dispatcher := f.handler.Dispatcher
	go func() {
		for range open {
			c := <-done
			dispatcher.Done(c.reservation, dispatch.Result{
				Outcome: suspicion.NoInformation, NotSent: errors.Is(c.err, serverconn.ErrNotSent),
			})
			c.memory.Release()
		}
	}()
}

// Values of the result label of hedged requests.
const (
	hedgeSent = "sent"
	hedgeWon  = "won"
)
