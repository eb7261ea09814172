package standin

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// FaultConfig holds the faults that can be changed while the server runs.
type FaultConfig struct {
	// Fault is injected into every request.
	Fault Fault
	// CloseReused restricts Fault to requests on reused connections.
	CloseReused bool
	// Shed makes the server refuse every request as load shedding does.
	Shed bool
	// Draining makes the server refuse new requests and report the state draining.
	Draining bool
	// ReportDraining makes the server report the state draining while it still accepts requests.
	ReportDraining bool
	// Report replaces the health report if it is not nil.
	Report *backend.Health
	// ReportLag is the age of the load in the health report.
	ReportLag time.Duration
	// FailProbes makes the server respond to probes and grant calls with status 500.
	FailProbes bool
}

// ConfigureFaults changes the injected faults. It calls change while it holds the lock of the server, so change must
// not call methods of the server.
func (s *Server) ConfigureFaults(change func(*FaultConfig)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Freeze blocks all requests, probes and executions until [Server.Thaw] is called, like a process stopped by SIGSTOP.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed == nil {
		s.thawed = make(chan struct{})
	}
}

// Thaw resumes a frozen server.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// waitThawed blocks while the server is frozen. It ignores cancellation, because a frozen process does not notice it.
func (s *Server) waitThawed() {
	for {
		s.mu.Lock()
		thawed := s.thawed
		s.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}
