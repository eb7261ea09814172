package entry

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/retry"
)

// Budgets holds the retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	limits retry.WindowLimits
	clock  func() time.Duration

	// mu protects the fields below.
	mu       sync.Mutex
	services map[string]*retry.Window
}

// NewBudgets returns budgets that have counted no requests.
func NewBudgets(limits retry.WindowLimits, clock func() time.Duration) *Budgets {
	return &Budgets{limits: limits, clock: clock, services: make(map[string]*retry.Window)}
}

// SetLimits changes the limits. The counts are kept.
func (b *Budgets) SetLimits(limits retry.WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	for _, window := range b.services {
		window.SetLimits(limits)
	}
}

// Request counts the first attempt of a request.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).Request(b.clock())
}

// Take reports whether a request may be sent once more. If so, it counts the retry.
func (b *Budgets) Take(service string, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Take(b.clock(), gateways)
}

func (b *Budgets) window(service string) *retry.Window {
	window := b.services[service]
	if window == nil {
		window = retry.NewWindow(b.limits)
		b.services[service] = window
	}
	return window
}
