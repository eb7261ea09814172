package standin

// Counters counts the events of a server.
type Counters struct {
	// Executions is the number of started executions.
	Executions int
	// ControlCalls is the number of control calls: probes and grant calls.
	ControlCalls int
	// Connections is the number of accepted connections.
	Connections int
	// ExecutionsOverSlots is the number of executions that started while all slots were in use.
	ExecutionsOverSlots int
	// MaxInProgress is the highest number of concurrent executions.
	MaxInProgress int
	// Refused is the number of refused requests by reason.
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

// RequestExecutions returns how often the request with the given ID was executed.
func (s *Server) RequestExecutions(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[requestID]
}

// IdentityExecutions returns how often requests with the given request identity of a subscriber were executed.
func (s *Server) IdentityExecutions(subscriber, identity string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identityExecutions[subscriber+"\x00"+identity]
}

// MaxRequestExecutions returns the highest number of executions of one request.
func (s *Server) MaxRequestExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := 0
	for _, n := range s.executions {
		highest = max(highest, n)
	}
	return highest
}

// RepeatedIdentities returns the number of request identities that were executed more than once.
func (s *Server) RepeatedIdentities() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	repeated := 0
	for _, n := range s.identityExecutions {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}

// ResetExecutionCounts resets the counts per request and per request identity.
func (s *Server) ResetExecutionCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.executions)
	clear(s.identityExecutions)
}
