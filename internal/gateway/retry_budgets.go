package gateway

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/retry"
)

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	start time.Time

	// mu protects the fields below.
	mu        sync.Mutex
	byService map[string]*retry.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{start: time.Now(), byService: make(map[string]*retry.Budget)}
}

// countRequest credits the budget of the service for a new request.
func (b *retryBudgets) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).CountRequest()
}

// takeRetry consumes one retry from the budget of the service and reports whether the retry is allowed.
func (b *retryBudgets) takeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(time.Since(b.start))
}

func (b *retryBudgets) budget(service string) *retry.Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = retry.NewBudget()
		b.byService[service] = budget
	}
	return budget
}
