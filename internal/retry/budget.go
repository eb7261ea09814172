// Package retry decides whether a failed request may be retried. It has no clock, locks or goroutines; callers
// pass in monotonic time and serialize access.
package retry

import "time"

const (
	// BudgetRatio is the number of retries allowed per request.
	BudgetRatio = 0.1
	// BudgetPerSecond is the number of retries per second allowed in addition to those earned by requests.
	BudgetPerSecond = 3
	// BudgetBurst is the size of the token bucket. It limits the burst of retries if all servers fail after an idle
	// period.
	BudgetBurst = 30
)

// Budget is a token bucket that limits the retries of one gateway for one service. The zero value is an empty
// bucket.
type Budget struct {
	tokens float64
	last   time.Duration
}

// NewBudget returns a budget that holds the tokens of one second, so that a gateway can retry right after its
// start.
func NewBudget() *Budget { return &Budget{tokens: BudgetPerSecond} }

// CountRequest credits the budget for a first attempt.
func (b *Budget) CountRequest() { b.add(BudgetRatio) }

// Take consumes one token and reports whether the retry is allowed.
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
