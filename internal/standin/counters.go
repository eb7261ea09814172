package standin

// Counters is what the server saw.
type Counters struct {
	// Executions is the number of started executions.
	Executions int
	// Probes is the number of probes and grant calls.
	Probes int
	// Connections is the number of accepted connections.
	Connections int
	// ExecutionsOverSlots is the number of executions that started while all slots were taken.
	ExecutionsOverSlots int
	// MaxInProgress is the greatest number of executions at the same time.
	MaxInProgress int
	// Refused counts the refusals by reason.
	Refused map[string]int
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.counters
	counters.Refused = make(map[string]int, len(s.counters.Refused))
	for reason, n := range s.counters.Refused {
		counters.Refused[reason] = n
	}
	return counters
}

// RequestExecutions returns how often the request with the given id was executed.
func (s *Server) RequestExecutions(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[requestID]
}

// IdentityExecutions returns how often requests with the given request identity of a subscriber were executed.
func (s *Server) IdentityExecutions(subscriber, identity string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identityRuns[subscriber+"\x00"+identity]
}

// MaxRequestExecutions returns the greatest number of executions of one request.
func (s *Server) MaxRequestExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.runs {
		most = max(most, n)
	}
	return most
}

// RepeatedIdentities returns the number of request identities that were executed more than once.
func (s *Server) RepeatedIdentities() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := 0
	for _, n := range s.identityRuns {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}

// ResetExecutionCounts drops the counts per request and identity.
func (s *Server) ResetExecutionCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.runs)
	clear(s.identityRuns)
}
