// Package bytebudget bounds the memory that the bodies of all requests and responses in flight may take together.
package bytebudget

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that a reservation would exceed the limit.
var ErrExhausted = errors.New("memory for bodies is exhausted; send less at the same time or raise the limit")

// Budget is a limit on a number of bytes. It is safe for concurrent use.
type Budget struct {
	limit    int64
	reserved atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserved returns the number of bytes that are reserved.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Account returns an account of the budget without reserved bytes.
func (b *Budget) Account() *Account { return &Account{budget: b} }

// Account holds the bytes that are reserved for one request. It is safe for concurrent use.
type Account struct {
	budget   *Budget
	reserved atomic.Int64
}

// Reserve reserves further bytes.
func (a *Account) Reserve(bytes int64) error {
	if a.budget.reserved.Add(bytes) > a.budget.limit {
		a.budget.reserved.Add(-bytes)
		return errors.Wrapf(ErrExhausted, "limit %d bytes", a.budget.limit)
	}
	a.reserved.Add(bytes)
	return nil
}

// Sibling returns another account of the same budget, without reserved bytes.
func (a *Account) Sibling() *Account { return a.budget.Account() }

// Merge takes over the bytes that another account of the same budget has reserved.
func (a *Account) Merge(other *Account) { a.reserved.Add(other.reserved.Swap(0)) }

// Release returns all reserved bytes to the budget.
func (a *Account) Release() { a.budget.reserved.Add(-a.reserved.Swap(0)) }
