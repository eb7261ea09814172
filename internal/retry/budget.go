// Package retry decides whether a request may be sent again. It is pure: it has no clock, lock or goroutine,
// and takes monotonic time as an argument.
package retry

import "time"

const (
	// BudgetRatio is the share of requests that may be sent again.
	BudgetRatio = 0.1
	// BudgetPerSecond is the number of retries per second that are allowed in addition.
	BudgetPerSecond = 3
	// BudgetBurst bounds the retries that can be saved up, so that a long quiet time does not pay for a
	// burst of retries when every server fails.
	BudgetBurst = 30
)

// Budget bounds the retries of one gateway and service. The zero value is an empty budget.
type Budget struct {
	tokens float64
	last   time.Duration
}

// NewBudget returns a budget with the retries of one second, so that a gateway that has just started can retry.
func NewBudget() *Budget { return &Budget{tokens: BudgetPerSecond} }

// Request adds the share of one request that is sent for the first time.
func (b *Budget) Request() { b.add(BudgetRatio) }

// Take reports whether a retry is within the budget, and counts it if so.
func (b *Budget) Take(now time.Duration) bool {
	if now > b.last {
		b.add((now - b.last).Seconds() * BudgetPerSecond)
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, BudgetBurst) }
