package dev

import (
	"math/rand/v2"
	"sync"
)

// Balancer simulates the load balancer of the platform: it distributes clients evenly over the gateways that were last
// reported as ready.
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

// Pick returns the address of a random gateway.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[rand.IntN(len(b.addresses))]
}
