package standin

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// Headers with the request identity.
const (
	idempotencyKey  = "Idempotency-Key"
	xIdempotencyKey = "X-Idempotency-Key"
	// HeaderIdentityEcho repeats the request identity in each answer, so that a caller can tell whether the
	// answer is its own.
	HeaderIdentityEcho = "Standin-Identity"
)

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
	w.Header().Set(HeaderIdentityEcho, r.Header.Get(idempotencyKey))
	fault := s.faultOf(r, reused(r.Context()))
	if fault == FaultCloseBeforeExecution {
		closeConnection(w)
		return
	}
	// A request whose body did not arrive completely is not executed.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.waitThawed()
	execution := s.executionOf(r)
	reason := s.start(execution, fault)
	if reason != "" {
		refuse(w, reason)
		return
	}
	finished := s.work(r, execution.Deadline)
	s.end(execution)
	if finished {
		s.answer(w, fault)
		return
	}
	closeConnection(w)
}

func (s *Server) faultOf(r *http.Request, reused bool) Fault {
	if s.options.SelectFault != nil {
		if fault := s.options.SelectFault(r); fault != FaultNone {
			return fault
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.CloseReused && !reused {
		return FaultNone
	}
	return s.switches.Fault
}

func (s *Server) executionOf(r *http.Request) Execution {
	return Execution{
		Server:     s.options.Name,
		RequestID:  r.Header.Get(backend.HeaderRequestID),
		Identity:   cmp.Or(r.Header.Get(idempotencyKey), r.Header.Get(xIdempotencyKey)),
		Subscriber: r.Header.Get(backend.HeaderSubscriber),
		Key:        r.Header.Get(backend.HeaderKey),
		Scope:      r.Header.Get(backend.HeaderScope),
		Token:      r.Header.Get(backend.HeaderToken),
		Deadline:   deadlineOf(r),
	}
}

// deadlineOf returns the deadline of a request. Without a valid one it has passed.
func deadlineOf(r *http.Request) time.Time {
	nanos, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// start counts an execution, or returns the reason for which the request is not executed.
func (s *Server) start(e Execution, fault Fault) backend.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.refusal(e, fault)
	if reason != "" {
		s.counters.Refused[string(reason)]++
		return reason
	}
	s.count(e)
	if s.options.Observer != nil {
		s.options.Observer.Started(e)
	}
	return ""
}

func (s *Server) refusal(e Execution, fault Fault) backend.Refusal {
	switch {
	case s.switches.Draining:
		return backend.RefusedDraining
	case !time.Now().Before(e.Deadline):
		return backend.RefusedDeadline
	case s.switches.Shed || fault == FaultShed:
		return backend.RefusedShed
	case s.options.Fenced:
		return s.grants.refusal(e.Scope, e.Token, time.Now())
	default:
		return ""
	}
}

func (s *Server) count(e Execution) {
	s.counters.Executions++
	s.runs[e.RequestID]++
	if e.Identity != "" {
		s.identityRuns[e.Subscriber+"\x00"+e.Identity]++
	}
	if s.inProgress >= s.options.Slots {
		s.counters.ExecutionsOverSlots++
	}
	s.inProgress++
	s.counters.MaxInProgress = max(s.counters.MaxInProgress, s.inProgress)
	s.recordLoad()
}

func (s *Server) end(e Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.recordLoad()
	if s.options.Observer != nil {
		s.options.Observer.Ended(e)
	}
}

// work executes until the service time is over. It returns false if the request was cancelled or its
// deadline passed.
func (s *Server) work(r *http.Request, deadline time.Time) bool {
	timer := time.NewTimer(min(s.serviceTime(), time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		s.waitThawed()
		return false
	}
	s.waitThawed()
	return time.Now().Before(deadline)
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.options.ServiceTime)
	if s.options.ExponentialServiceTime {
		d *= s.random.ExpFloat64()
	}
	if time.Since(s.started) < s.options.ColdStart {
		d *= s.options.ColdFactor
	}
	return time.Duration(d)
}

func refuse(w http.ResponseWriter, reason backend.Refusal) {
	w.Header().Set(backend.HeaderRefused, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}
