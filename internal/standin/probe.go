package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// maxLoadSamples limits the number of load samples that are kept for lagging health reports.
const maxLoadSamples = 1024

// loadSample is the number of executions in progress since a point in time.
type loadSample struct {
	at         time.Time
	inProgress int
}

func (s *Server) handleProbe(w http.ResponseWriter, r *http.Request) {
	if s.readControlCall(w, r, nil) {
		writeJSON(w, s.healthReport())
	}
}

// readControlCall sleeps for the configured processing time and decodes the body of a control call unless into is
// nil. It returns false if it has sent an error response.
func (s *Server) readControlCall(w http.ResponseWriter, r *http.Request, into any) bool {
	countConnRequest(r.Context())
	if s.options.ProbeDelay > 0 {
		time.Sleep(s.options.ProbeDelay)
	}
	s.waitThawed()
	s.mu.Lock()
	s.counters.ControlCalls++
	fail := s.faults.FailProbes
	s.mu.Unlock()
	if fail {
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

func (s *Server) healthReport() backend.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Report != nil {
		return *s.faults.Report
	}
	state := backend.StateReady
	if s.faults.Draining || s.faults.ReportDraining {
		state = backend.StateDraining
	} else if time.Since(s.started) < s.options.ColdStart {
		state = backend.StateStarting
	}
	return backend.Health{State: state, Slots: s.options.Slots, InProgress: s.reportedLoad()}
}

// reportedLoad returns the number of executions in progress as it was ReportLag ago. The caller must hold mu.
func (s *Server) reportedLoad() int {
	if s.faults.ReportLag <= 0 {
		return s.inProgress
	}
	at := time.Now().Add(-s.faults.ReportLag)
	for i := len(s.loadHistory) - 1; i >= 0; i-- {
		if !s.loadHistory[i].at.After(at) {
			return s.loadHistory[i].inProgress
		}
	}
	return 0
}

// recordLoad adds a load sample if ReportLag is set. The caller must hold mu.
func (s *Server) recordLoad() {
	if s.faults.ReportLag <= 0 {
		return
	}
	if len(s.loadHistory) == maxLoadSamples {
		s.loadHistory = append(s.loadHistory[:0], s.loadHistory[maxLoadSamples/2:]...)
	}
	s.loadHistory = append(s.loadHistory, loadSample{at: time.Now(), inProgress: s.inProgress})
}
