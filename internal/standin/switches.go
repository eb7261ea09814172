package standin

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// FaultConfig are the faults that can be turned on and off while the server runs.
type FaultConfig struct {
	// Fault applies to every request.
	Fault Fault
	// CloseReused applies Fault only to requests on connections that carried another request before.
	CloseReused bool
	// Shed refuses every request.
	Shed bool
	// Draining refuses new requests and reports the state draining.
	Draining bool
	// ReportDraining reports the state draining and still accepts requests.
	ReportDraining bool
	// Report replaces the health report.
	Report *backend.Health
	// ReportLag makes the health report this old.
	ReportLag time.Duration
	// FailProbes answers probes and grant calls with status 500.
	FailProbes bool
}

// ConfigureFaults changes the switches.
func (s *Server) ConfigureFaults(change func(*FaultConfig)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.switches)
}

// Freeze holds every request, probe and execution until Thaw.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed == nil {
		s.thawed = make(chan struct{})
	}
}

// Thaw goes on as if nothing had happened.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// waitThawed returns once the server is not frozen. A frozen process does not notice cancellation.
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
