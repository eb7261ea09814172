package control

import (
	"context"
	"sync"

	"github.com/sapphireplank/sapphireplank/internal/store"
)

// storeCaller makes the calls of the store outside the loop's goroutine and hands their results back to it.
type storeCaller struct {
	store  store.Store
	post   func(func())
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}

	// mu protects the fields below.
	mu      sync.Mutex
	watches map[uint64]context.CancelFunc
}

func newStoreCaller(s store.Store, post func(func())) *storeCaller {
	ctx, cancel := context.WithCancel(context.Background())
	return &storeCaller{
		store:   s,
		post:    post,
		ctx:     ctx,
		cancel:  cancel,
		slots:   make(chan struct{}, maxStoreCalls),
		watches: make(map[uint64]context.CancelFunc),
	}
}

// run makes one call with a deadline. The function that it returns runs in the loop's goroutine.
func (s *storeCaller) run(call func(ctx context.Context) func()) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		defer cancel()
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-ctx.Done():
			// The call below fails at once by its context, which gives the state machine its result.
		}
		s.post(call(ctx))
	}()
}

// watch makes one call without a deadline, which stopWatch ends.
func (s *storeCaller) watch(seq uint64, call func(ctx context.Context) func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.watches[seq] = cancel
	s.mu.Unlock()
	go func() {
		done := call(ctx)
		s.stopWatch(seq)
		s.post(done)
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
