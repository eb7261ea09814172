package store

import (
	"context"
	"sync"
	"time"
)

// Link is the connection of one process to a Store. Taking it down simulates a network partition between that
// process and the store; other links to the same store are not affected.
type Link struct {
	store Store

	// mu protects the fields below.
	mu       sync.Mutex
	down     bool
	wentDown chan struct{}
}

// NewLink returns a link to s that is up.
func NewLink(s Store) *Link {
	return &Link{store: s, wentDown: make(chan struct{})}
}

// SetDown takes the link down or brings it up again. Calls in progress fail with ErrUnavailable when the link goes
// down.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down == l.down {
		return
	}
	l.down = down
	if down {
		close(l.wentDown)
		return
	}
	l.wentDown = make(chan struct{})
}

// Get implements Store.
func (l *Link) Get(ctx context.Context, key string) (entry Entry, err error) {
	err = l.run(ctx, func(ctx context.Context) error {
		entry, err = l.store.Get(ctx, key)
		return err
	})
	return entry, err
}

// CompareAndSwap implements Store.
func (l *Link) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (entry Entry, err error) {
	err = l.run(ctx, func(ctx context.Context) error {
		entry, err = l.store.CompareAndSwap(ctx, key, version, value)
		return err
	})
	return entry, err
}

// Watch implements Store.
func (l *Link) Watch(ctx context.Context, key string, version uint64) (entry Entry, err error) {
	err = l.run(ctx, func(ctx context.Context) error {
		entry, err = l.store.Watch(ctx, key, version)
		return err
	})
	return entry, err
}

// Acquire implements Store.
func (l *Link) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	return l.run(ctx, func(ctx context.Context) error {
		return l.store.Acquire(ctx, name, holder, ttl)
	})
}

// Renew implements Store.
func (l *Link) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	return l.run(ctx, func(ctx context.Context) error {
		return l.store.Renew(ctx, name, holder, ttl)
	})
}

// run runs call with a context that is canceled when the link goes down.
func (l *Link) run(ctx context.Context, call func(context.Context) error) error {
	l.mu.Lock()
	down, wentDown := l.down, l.wentDown
	l.mu.Unlock()
	if down {
		return ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-wentDown:
			cancel()
		case <-done:
		}
	}()
	return call(ctx)
}
