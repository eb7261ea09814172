package standin

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// Headers that carry the request identity.
const (
	headerIdempotencyKey  = "Idempotency-Key"
	headerXIdempotencyKey = "X-Idempotency-Key"
	// HeaderIdentityEcho repeats the request identity in each response, so that a client can check that the
	// response belongs to its request.
	HeaderIdentityEcho = "Standin-Identity"
)

// handleRequest executes a request or refuses it, with the selected fault.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
	w.Header().Set(HeaderIdentityEcho, r.Header.Get(headerIdempotencyKey))
	fault := s.selectFault(r, countConnRequest(r.Context()))
	if fault == FaultCloseBeforeExecution {
		closeConnection(w)
		return
	}
	// A request with a truncated body is not executed.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.waitThawed()
	execution := s.newExecution(r)
	refusal := s.startExecution(execution, fault)
	if refusal != "" {
		writeRefusal(w, refusal)
		return
	}
	completed := s.execute(r, execution.Deadline)
	s.endExecution(execution)
	if completed {
		s.respond(w, fault)
		return
	}
	closeConnection(w)
}

// selectFault returns the fault that the options select for a request or, if they select none, the currently
// configured fault.
func (s *Server) selectFault(r *http.Request, reused bool) Fault {
	if s.options.SelectFault != nil {
		if fault := s.options.SelectFault(r); fault != FaultNone {
			return fault
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CloseReused && !reused {
		return FaultNone
	}
	return s.faults.Fault
}

func (s *Server) newExecution(r *http.Request) Execution {
	return Execution{
		Server:     s.options.Name,
		RequestID:  r.Header.Get(backend.HeaderRequestID),
		Identity:   cmp.Or(r.Header.Get(headerIdempotencyKey), r.Header.Get(headerXIdempotencyKey)),
		Subscriber: r.Header.Get(backend.HeaderSubscriber),
		Key:        r.Header.Get(backend.HeaderKey),
		Scope:      r.Header.Get(backend.HeaderScope),
		Token:      r.Header.Get(backend.HeaderToken),
		Deadline:   parseDeadline(r),
	}
}

// parseDeadline returns the deadline of a request. Without a valid deadline it returns the zero time, so that the
// request is refused.
func parseDeadline(r *http.Request) time.Time {
	nanos, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// startExecution counts an execution, or returns the reason for which the request is refused.
func (s *Server) startExecution(e Execution, fault Fault) backend.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal := s.checkRequest(e, fault)
	if refusal != "" {
		s.counters.Refused[string(refusal)]++
		return refusal
	}
	s.countExecution(e)
	if s.options.Observer != nil {
		s.options.Observer.Started(e)
	}
	return ""
}

// checkRequest returns the reason to refuse a request, or "". The caller must hold mu.
func (s *Server) checkRequest(e Execution, fault Fault) backend.Refusal {
	switch {
	case s.faults.Draining:
		return backend.RefusedDraining
	case !time.Now().Before(e.Deadline):
		return backend.RefusedDeadline
	case s.faults.Shed || fault == FaultShed:
		return backend.RefusedShed
	case s.options.Fenced:
		return s.grants.checkToken(e.Scope, e.Token, time.Now())
	default:
		return ""
	}
}

// countExecution counts the start of an execution. The caller must hold mu.
func (s *Server) countExecution(e Execution) {
	s.counters.Executions++
	s.executions[e.RequestID]++
	if e.Identity != "" {
		s.identityExecutions[e.Subscriber+"\x00"+e.Identity]++
	}
	if s.inProgress >= s.options.Slots {
		s.counters.ExecutionsOverSlots++
	}
	s.inProgress++
	s.counters.MaxInProgress = max(s.counters.MaxInProgress, s.inProgress)
	s.recordLoad()
}

func (s *Server) endExecution(e Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
	s.recordLoad()
	if s.options.Observer != nil {
		s.options.Observer.Ended(e)
	}
}

// execute simulates the execution of a request for its run time. It returns false if the request was canceled or
// its deadline passed.
func (s *Server) execute(r *http.Request, deadline time.Time) bool {
	timer := time.NewTimer(min(s.drawRunTime(), time.Until(deadline)))
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

// drawRunTime returns the run time of the next request.
func (s *Server) drawRunTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.options.RunTime)
	if s.options.ExponentialRunTime {
		d *= s.random.ExpFloat64()
	}
	if time.Since(s.started) < s.options.ColdStart {
		d *= s.options.ColdFactor
	}
	return time.Duration(d)
}

func writeRefusal(w http.ResponseWriter, refusal backend.Refusal) {
	w.Header().Set(backend.HeaderRefused, string(refusal))
	w.WriteHeader(http.StatusServiceUnavailable)
}
