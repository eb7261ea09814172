// Package gatewaycmd implements the plank-gateway program.
package gatewaycmd

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
)

// Settings holds the settings of a gateway process. All other configuration comes from the store and from other
// gateways.
type Settings struct {
	Host          string   `long:"host" ini-name:"host" description:"name of this host in the configuration (no default)"`
	Team          string   `long:"team" ini-name:"team" description:"team whose configuration this gateway serves (no default)"`
	PeerAddress   string   `long:"peer-address" ini-name:"peer-address" description:"IP address and port for other gateways (no default)"`
	CallerAddress string   `long:"caller-address" ini-name:"caller-address" description:"IP address and port for clients (no default)"`
	AdminAddress  string   `long:"admin-address" ini-name:"admin-address" description:"IP address and port for operators (no default)"`
	Store         string   `long:"store" ini-name:"store" description:"URL of the platform's store (no default)"`
	Peers         []string `long:"peer" ini-name:"peer" description:"HOST=ADDRESS of a gateway to ask for the configuration; repeat for several (default: none)"`
	TokenFile     string   `long:"token-file" ini-name:"token-file" description:"file with the digests of operators' tokens (default: none, all operators are refused)"`
	EventFile     string   `long:"event-file" ini-name:"event-file" description:"file for events as JSON lines, - for standard output (default: none)"`
	LogLevels     string   `long:"log" ini-name:"log" default:"info" description:"log levels, as LEVEL or COMPONENT=LEVEL, separated by commas"`
	StopSeconds   int      `long:"stop-timeout" ini-name:"stop-timeout" default:"35" description:"time limit of a graceful shutdown, in seconds"`
}

// ErrInvalidSetting is wrapped by the errors of Validate.
var ErrInvalidSetting = errors.New("setting is missing or invalid")

// Validate returns an error that names the first missing or invalid setting and how to correct it.
func (s *Settings) Validate() error {
	required := []struct{ name, value string }{
		{"host", s.Host}, {"team", s.Team}, {"store", s.Store},
	}
	for _, r := range required {
		if r.value == "" {
			return errors.Wrapf(ErrInvalidSetting, "%s: set it in the settings file or on the command line", r.name)
		}
	}
	addresses := []struct{ name, value string }{
		{"peer-address", s.PeerAddress}, {"caller-address", s.CallerAddress}, {"admin-address", s.AdminAddress},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Wrapf(ErrInvalidSetting, "%s %q: use an IP address and port such as 127.0.0.1:21000", a.name, a.value)
		}
	}
	if s.StopSeconds <= 0 {
		return errors.Wrapf(ErrInvalidSetting, "stop-timeout %d: use a number of seconds above 0", s.StopSeconds)
	}
	_, err := s.seedPeers()
	return err
}

// seedPeers parses Peers and returns the peer addresses by host name.
func (s *Settings) seedPeers() (map[string]string, error) {
	seeds := make(map[string]string, len(s.Peers))
	for _, peer := range s.Peers {
		host, address, ok := strings.Cut(peer, "=")
		if _, err := netip.ParseAddrPort(address); !ok || err != nil {
			return nil, errors.Wrapf(ErrInvalidSetting, "peer %q: use HOST=IP:PORT", peer)
		}
		seeds[host] = address
	}
	return seeds, nil
}
