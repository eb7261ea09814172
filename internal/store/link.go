package store

import (
	"context"
	"sync"
	"time"
)

// Link is one process's path to a Store. Cutting it isolates that process from the store; other links work on.
type Link struct {
	store Store

	// mu protects the fields below.
	mu   sync.Mutex
	cut  bool
	stop chan struct{}
}

// NewLink returns a link to s that works.
func NewLink(s Store) *Link {
	return &Link{store: s, stop: make(chan struct{})}
}

// SetDown cuts or heals the link. Calls that wait end with ErrUnavailable when the link is cut.
func (l *Link) SetDown(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		close(l.stop)
		return
	}
	l.stop = make(chan struct{})
}

// Get implements Store.
func (l *Link) Get(ctx context.Context, key string) (entry Entry, err error) {
	err = l.through(ctx, func(ctx context.Context) error {
		entry, err = l.store.Get(ctx, key)
		return err
	})
	return entry, err
}

// CompareAndSwap implements Store.
func (l *Link) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (entry Entry, err error) {
	err = l.through(ctx, func(ctx context.Context) error {
		entry, err = l.store.CompareAndSwap(ctx, key, version, value)
		return err
	})
	return entry, err
}

// Watch implements Store.
func (l *Link) Watch(ctx context.Context, key string, version uint64) (entry Entry, err error) {
	err = l.through(ctx, func(ctx context.Context) error {
		entry, err = l.store.Watch(ctx, key, version)
		return err
	})
	return entry, err
}

// Acquire implements Store.
func (l *Link) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	return l.through(ctx, func(ctx context.Context) error {
		return l.store.Acquire(ctx, name, holder, ttl)
	})
}

// Renew implements Store.
func (l *Link) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	return l.through(ctx, func(ctx context.Context) error {
		return l.store.Renew(ctx, name, holder, ttl)
	})
}

// through runs call with a context that ends when the link is cut.
func (l *Link) through(ctx context.Context, call func(context.Context) error) error {
	l.mu.Lock()
	cut, stop := l.cut, l.stop
	l.mu.Unlock()
	if cut {
		return ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-stop:
			cancel()
		case <-done:
		}
	}()
	return call(ctx)
}
