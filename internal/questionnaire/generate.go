package questionnaire

import (
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Result is a generated configuration together with the derivation of its values.
type Result struct {
	// Config has neither a revision nor an id yet; both are set when the configuration is accepted.
	Config *config.Config
	// Derivations describes each value that is not taken over from an answer unchanged.
	Derivations []Derivation
}

// Generate derives the configuration from answers returned by Parse. It is deterministic: the same answers always
// yield the same configuration. The error is of type config.ValidationErrors.
func Generate(a *Answers) (*Result, error) {
	g := &generator{answers: a, hostsByZone: make(map[string]HostsAnswer)}
	g.config = &config.Config{Team: a.Team, Preference: a.Preference}
	g.addZones()
	g.addHosts()
	for _, service := range a.Services {
		g.addService(service)
	}
	if err := g.config.Validate(); err != nil {
		return nil, err
	}
	g.addDerivations()
	return &Result{Config: g.config, Derivations: g.derivations}, nil
}

// GenerateFromText parses a questionnaire and generates its configuration.
func GenerateFromText(text []byte) (*Result, error) {
	answers, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return Generate(answers)
}

type generator struct {
	answers     *Answers
	config      *config.Config
	hostsByZone map[string]HostsAnswer
	derivations []Derivation
}

func (g *generator) addZones() {
	for _, zone := range g.answers.Zones {
		lost := slices.Contains(g.answers.LostZones, zone.Name)
		g.config.Zones = append(g.config.Zones, config.Zone{Name: zone.Name, Region: zone.Region, Lost: lost})
	}
}

func (g *generator) addHosts() {
	for _, hosts := range g.answers.Hosts {
		g.hostsByZone[hosts.Zone] = hosts
		for i := range hosts.Count {
			if !slices.Contains(hosts.Except, hosts.hostName(i)) {
				g.config.Hosts = append(g.config.Hosts, hosts.hostConfig(i))
			}
		}
	}
}

// hostConfig returns the configuration of the host with the given index. It ignores address errors because Parse has
// already rejected patterns that do not cover every index.
func (h HostsAnswer) hostConfig(index int) config.Host {
	peer, _ := h.Peer.addressAt(index)
	caller, _ := h.Caller.addressAt(index)
	admin, _ := h.Admin.addressAt(index)
	return config.Host{
		Name: h.hostName(index), Zone: h.Zone, Cell: h.cellOfHost(index), Rack: h.rackOfHost(index),
		PeerAddress: peer, CallerAddress: caller, AdminAddress: admin,
	}
}

func (g *generator) addService(answer ServiceAnswer) {
	service := config.Service{
		Name: answer.Name, Keyed: answer.Keyed, Partitions: answer.Partitions, Fenced: answer.Fenced,
		Slots: answer.Slots, MaxConnections: answer.Connections, MaxRequestMillis: answer.MaxRequestMillis,
		Idempotent: append([]config.Rule{}, answer.Idempotent...),
	}
	for _, servers := range g.answers.Servers {
		if servers.Service == answer.Name {
			service.Servers = append(service.Servers, g.serverConfigs(servers)...)
		}
	}
	g.config.Services = append(g.config.Services, service)
}

func (g *generator) serverConfigs(answer ServersAnswer) []config.Server {
	var servers []config.Server
	hosts := g.hostsByZone[answer.Zone]
	for i := range answer.Count {
		name := answer.serverName(i)
		if slices.Contains(answer.Except, name) {
			continue
		}
		address, _ := answer.Address.addressAt(i)
		cell := hosts.cellName(answer.cellNumberOfServer(i, hosts.cellCount()))
		servers = append(servers, config.Server{
			Name: name, Zone: answer.Zone, Cell: cell, Address: address, Weight: answer.weightOfServer(i),
		})
	}
	return servers
}
