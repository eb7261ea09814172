package entry

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/retry"
)

// RetryBudgets holds the retry budget of each service. It is safe for concurrent use.
type RetryBudgets struct {
	limits retry.WindowLimits
	clock  func() time.Duration

	// mu protects the fields below.
	mu       sync.Mutex
	services map[string]*retry.WindowBudget
}

// NewRetryBudgets returns budgets that have counted no requests.
func NewRetryBudgets(limits retry.WindowLimits, clock func() time.Duration) *RetryBudgets {
	return &RetryBudgets{limits: limits, clock: clock, services: make(map[string]*retry.WindowBudget)}
}

// SetLimits changes the limits. The counts are reset if the length of the window changes.
func (b *RetryBudgets) SetLimits(limits retry.WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	for _, window := range b.services {
		window.SetLimits(limits)
	}
}

// CountRequest counts the first attempt of a request.
func (b *RetryBudgets) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).CountRequest(b.clock())
}

// Take reports whether a request may be sent once more. If so, it counts the retry.
func (b *RetryBudgets) Take(service string, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Take(b.clock(), gateways)
}

func (b *RetryBudgets) window(service string) *retry.WindowBudget {
	window := b.services[service]
	if window == nil {
		window = retry.NewWindowBudget(b.limits)
		b.services[service] = window
	}
	return window
}
