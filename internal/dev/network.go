package dev

import (
	"context"
	"net"
	"sync"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/peer"
)

// Network carries the connections of gateways to each other and to backend servers. It can isolate a zone. The
// connections of callers to gateways do not pass through it.
type Network struct {
	// zones holds the zone of each host, and of each peer and backend server address.
	zones map[string]string

	// mu protects the fields below.
	mu       sync.Mutex
	isolated string
}

// NewNetwork returns a network without faults for the addresses of a configuration.
func NewNetwork(c *config.Config) *Network {
	n := &Network{zones: make(map[string]string)}
	for _, host := range c.Hosts {
		n.zones[host.Name] = host.Zone
		n.zones[host.PeerAddress] = host.Zone
	}
	for _, service := range c.Services {
		for _, server := range service.Servers {
			n.zones[server.Address] = server.Zone
		}
	}
	return n
}

// Isolate cuts a zone from all others, and "" heals the network. Connections across the cut stall: what is written is
// not delivered before the network heals.
func (n *Network) Isolate(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = zone
}

// cut reports whether nothing passes between two zones.
func (n *Network) cut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated != "" && a != b && (a == n.isolated || b == n.isolated)
}

// dialer returns the function with which the gateway of a host connects, or nil for plain TCP.
func (n *Network) dialer(host string) peer.DialFunc {
	if n == nil {
		return nil
	}
	from := n.zones[host]
	return func(ctx context.Context, address string) (net.Conn, error) {
		isCut := func() bool { return n.cut(from, n.zones[address]) }
		if isCut() {
			// The request for a connection is lost, so that nobody answers.
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := peer.DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return newStallConn(conn, isCut), nil
	}
}
