package gateway

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retriesPerSecond is the part of the retry budget that does not depend on the load.
	retriesPerSecond = 3
	retryBurst       = 30
)

// budgets holds the retry budget of each service.
type budgets struct {
	// mu protects the fields below.
	mu        sync.Mutex
	byService map[string]*rate.Limiter
}

func newBudgets() *budgets { return &budgets{byService: make(map[string]*rate.Limiter)} }

// spend takes one retry from the budget, if there is one.
func (b *budgets) spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.byService[service]
	if !ok {
		l = rate.NewLimiter(retriesPerSecond, retryBurst)
		b.byService[service] = l
	}
	return l.AllowN(now, 1)
}
