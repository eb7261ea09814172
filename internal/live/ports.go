package live

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

const (
	// portStep separates the ranges of ports that are tried. The examples use ports from 21000 to 23000; the ports
	// that systems give to outgoing connections begin at 32768.
	portStep = 2000
	// portRanges is the number of ranges that are tried.
	portRanges = 5
)

// ErrNoPorts means that each range of ports is in use.
var ErrNoPorts = errors.New("every range of ports is in use; end other deployments on this machine")

// moveToFreePorts changes all addresses of a configuration to the first range of ports of which none is in use, so
// that several deployments run on one machine.
func moveToFreePorts(c *config.Config) error {
	for i := 1; i <= portRanges; i++ {
		moved, err := movePorts(c, uint16(i*portStep))
		if err != nil {
			return err
		}
		if allFree(addresses(moved)) {
			*c = *moved
			return nil
		}
	}
	return ErrNoPorts
}

func movePorts(c *config.Config, offset uint16) (*config.Config, error) {
	moved := c.Clone()
	for _, address := range addresses(moved) {
		parsed, err := netip.ParseAddrPort(*address)
		if err != nil {
			return nil, err
		}
		*address = netip.AddrPortFrom(parsed.Addr(), parsed.Port()+offset).String()
	}
	return moved, nil
}

// addresses returns all addresses of a configuration, to be read or changed.
func addresses(c *config.Config) []*string {
	var list []*string
	for i := range c.Hosts {
		host := &c.Hosts[i]
		list = append(list, &host.PeerAddress, &host.CallerAddress, &host.AdminAddress)
	}
	for i := range c.Services {
		for j := range c.Services[i].Servers {
			list = append(list, &c.Services[i].Servers[j].Address)
		}
	}
	return list
}

func allFree(list []*string) bool {
	for _, address := range list {
		listener, err := net.Listen("tcp", *address)
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
