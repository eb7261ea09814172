package entry

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/hedge"
)

// Hedges holds the state of hedged requests of each service. It is safe for concurrent use.
type Hedges struct {
	settings hedge.Settings

	// mu protects services.
	mu       sync.Mutex
	services map[string]*hedge.Service
}

// NewHedges returns the state of services that have had no requests.
func NewHedges(settings hedge.Settings) *Hedges {
	return &Hedges{settings: settings, services: make(map[string]*hedge.Service)}
}

// enabled reports whether hedged requests of a service are allowed.
func (h *Hedges) enabled(service string) bool { return h.settings.PercentOf(service) > 0 }

// begin counts a request of a service, and returns how long after its first copy it is sent again. It returns false if it is
// not.
func (h *Hedges) begin(service string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	s.CountRequest()
	return s.Delay()
}

func (h *Hedges) observe(service string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).Observe(took)
}

func (h *Hedges) take(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).Take()
}

func (h *Hedges) giveBack(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).Return()
}

func (h *Hedges) service(name string) *hedge.Service {
	s := h.services[name]
	if s == nil {
		s = hedge.NewService(h.settings.PercentOf(name))
		h.services[name] = s
	}
	return s
}
