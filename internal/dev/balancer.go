package dev

import (
	"math/rand/v2"
	"sync"
)

// Balancer stands in for the platform's load balancer: it spreads callers over the gateways that it believes to
// be alive.
type Balancer struct {
	// mu protects the fields below.
	mu        sync.Mutex
	addresses []string
}

// Set replaces the addresses of the gateways.
func (b *Balancer) Set(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = append([]string(nil), addresses...)
}

// Pick returns the address of one gateway.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[rand.IntN(len(b.addresses))]
}
