package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// maxHistory bounds the load samples that are kept for lagging reports.
const maxHistory = 1024

// loadSample is the number of executions in progress from a point in time on.
type loadSample struct {
	at         time.Time
	inProgress int
}

func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	if s.startControl(w, r, nil) {
		writeJSON(w, s.health())
	}
}

// startControl spends the cost of a control call and decodes its body.
func (s *Server) startControl(w http.ResponseWriter, r *http.Request, into any) bool {
	reused(r.Context())
	if s.options.ProbeDelay > 0 {
		time.Sleep(s.options.ProbeDelay)
	}
	s.waitThawed()
	s.mu.Lock()
	s.counters.Probes++
	failing := s.switches.FailProbes
	s.mu.Unlock()
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return false
	}
	if into == nil {
		return true
	}
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) health() backend.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Report != nil {
		return *s.switches.Report
	}
	state := backend.StateReady
	if s.switches.Draining || s.switches.ReportDraining {
		state = backend.StateDraining
	} else if time.Since(s.started) < s.options.ColdStart {
		state = backend.StateStarting
	}
	return backend.Health{State: state, Slots: s.options.Slots, InProgress: s.reportedLoad()}
}

// reportedLoad returns the load as it was ReportLag ago.
func (s *Server) reportedLoad() int {
	if s.switches.ReportLag <= 0 {
		return s.inProgress
	}
	at := time.Now().Add(-s.switches.ReportLag)
	for i := len(s.history) - 1; i >= 0; i-- {
		if !s.history[i].at.After(at) {
			return s.history[i].inProgress
		}
	}
	return 0
}

func (s *Server) recordLoad() {
	if s.switches.ReportLag <= 0 {
		return
	}
	if len(s.history) == maxHistory {
		s.history = append(s.history[:0], s.history[maxHistory/2:]...)
	}
	s.history = append(s.history, loadSample{at: time.Now(), inProgress: s.inProgress})
}
