package dev

import (
	"context"
	"net"
	"sync"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/peer"
)

// Network opens the connections of gateways to each other and to backend servers, and can simulate a network partition
// that isolates one zone. The connections of clients to gateways do not use it.
type Network struct {
	// zones maps host names, peer addresses and backend server addresses to their zones.
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

// Isolate cuts the connections between a zone and all others; an empty zone restores them. Connections across the cut
// stall: written data is not delivered until they are restored.
func (n *Network) Isolate(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = zone
}

// isCut reports whether the connections between two zones are cut.
func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated != "" && a != b && (a == n.isolated || b == n.isolated)
}

// dialer returns the dial function for the gateway of a host, or nil for plain TCP.
func (n *Network) dialer(host string) peer.DialFunc {
	if n == nil {
		return nil
	}
	from := n.zones[host]
	return func(ctx context.Context, address string) (net.Conn, error) {
		isCut := func() bool { return n.isCut(from, n.zones[address]) }
		if isCut() {
			// The connection request is lost, so the dial ends only with its context.
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
