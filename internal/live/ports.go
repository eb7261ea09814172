package live

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

const (
	// portStep is the offset between the port ranges that are tried. The example configurations use ports from 21000 to
	// 23000; the ephemeral ports that operating systems give to outgoing connections begin at 32768.
	portStep = 2000
	// portRanges is the number of port ranges that are tried.
	portRanges = 5
)

// ErrNoFreePorts means that every port range that was tried is in use.
var ErrNoFreePorts = errors.New("all port ranges are in use; stop other deployments on this machine")

// moveToFreePorts shifts all addresses of a configuration to the first port range that is completely free, so that
// several deployments can run on one machine.
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
	return ErrNoFreePorts
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

// addresses returns pointers to all addresses of a configuration, for reading or changing them.
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
