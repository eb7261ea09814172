package control

import (
	"context"
	"sync"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// storeCaller runs store calls in goroutines of their own and posts their results to the loop's goroutine.
type storeCaller struct {
	store     store.Store
	post      func(func())
	ctx       context.Context
	cancel    context.CancelFunc
	semaphore chan struct{}

	// mu protects the fields below.
	mu      sync.Mutex
	watches map[uint64]context.CancelFunc
}

func newStoreCaller(s store.Store, post func(func())) *storeCaller {
	ctx, cancel := context.WithCancel(context.Background())
	return &storeCaller{
		store:     s,
		post:      post,
		ctx:       ctx,
		cancel:    cancel,
		semaphore: make(chan struct{}, maxStoreCalls),
		watches:   make(map[uint64]context.CancelFunc),
	}
}

// execute runs a store call with the timeout storeTimeout. The function that the call returns is posted to the loop's
// goroutine.
func (s *storeCaller) execute(call func(ctx context.Context) func()) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		defer cancel()
		select {
		case s.semaphore <- struct{}{}:
			defer func() { <-s.semaphore }()
		case <-ctx.Done():
			// The call below fails immediately because its context is done, so that the state machine gets a result.
		}
		s.post(call(ctx))
	}()
}

// watch runs a store call without timeout. stopWatch cancels it.
func (s *storeCaller) watch(seq uint64, call func(ctx context.Context) func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.watches[seq] = cancel
	s.mu.Unlock()
	go func() {
		handleResult := call(ctx)
		s.stopWatch(seq)
		s.post(handleResult)
	}()
}

func (s *storeCaller) stopWatch(seq uint64) {
	s.mu.Lock()
	cancel := s.watches[seq]
	delete(s.watches, seq)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *storeCaller) close() { s.cancel() }
