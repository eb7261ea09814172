package gateway

import (
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/retry"
)

// budgets holds the retry budget of each service.
type budgets struct {
	start time.Time

	// mu protects the fields below.
	mu        sync.Mutex
	byService map[string]*retry.Budget
}

func newBudgets() *budgets {
	return &budgets{start: time.Now(), byService: make(map[string]*retry.Budget)}
}

// sent counts a request that is sent for the first time.
func (b *budgets) sent(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Request()
}

// spend takes one retry from the budget, if there is one.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(time.Since(b.start))
}

func (b *budgets) budget(service string) *retry.Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = retry.NewBudget()
		b.byService[service] = budget
	}
	return budget
}
