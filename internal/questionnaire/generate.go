package questionnaire

import (
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Result is a generated configuration with the derivation of its values.
type Result struct {
	// Config has no revision and no id; the accept sets both.
	Config *config.Config
	// Derivations explains each value that is not an answer itself.
	Derivations []Derivation
}

// Generate derives the configuration from answers that Parse returned. The same answers always yield the same
// configuration. The error is of type config.Faults.
func Generate(a *Answers) (*Result, error) {
	g := &generator{answers: a, cells: make(map[string]HostsAnswer)}
	g.config = &config.Config{Team: a.Team, Preference: a.Preference}
	g.zones()
	g.hosts()
	for _, service := range a.Services {
		g.service(service)
	}
	if err := g.config.Validate(); err != nil {
		return nil, err
	}
	g.explain()
	return &Result{Config: g.config, Derivations: g.derived}, nil
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
	answers *Answers
	config  *config.Config
	cells   map[string]HostsAnswer
	derived []Derivation
}

func (g *generator) zones() {
	for _, zone := range g.answers.Zones {
		lost := slices.Contains(g.answers.LostZones, zone.Name)
		g.config.Zones = append(g.config.Zones, config.Zone{Name: zone.Name, Region: zone.Region, Lost: lost})
	}
}

func (g *generator) hosts() {
	for _, hosts := range g.answers.Hosts {
		g.cells[hosts.Zone] = hosts
		for i := range hosts.Count {
			if !slices.Contains(hosts.Except, hosts.name(i)) {
				g.config.Hosts = append(g.config.Hosts, hosts.host(i))
			}
		}
	}
}

// host returns one entry host. Its addresses were checked by Parse.
func (h HostsAnswer) host(index int) config.Host {
	peer, _ := h.Peer.at(index)
	caller, _ := h.Caller.at(index)
	admin, _ := h.Admin.at(index)
	return config.Host{
		Name: h.name(index), Zone: h.Zone, Cell: h.cell(index), Rack: h.rack(index),
		PeerAddress: peer, CallerAddress: caller, AdminAddress: admin,
	}
}

func (g *generator) service(answer ServiceAnswer) {
	service := config.Service{
		Name: answer.Name, Keyed: answer.Keyed, Partitions: answer.Partitions, Fenced: answer.Fenced,
		Slots: answer.Slots, MaxConnections: answer.Connections, MaxRequestMillis: answer.MaxRequestMillis,
		Idempotent: append([]config.Rule{}, answer.Idempotent...),
	}
	for _, servers := range g.answers.Servers {
		if servers.Service == answer.Name {
			service.Servers = append(service.Servers, g.servers(servers)...)
		}
	}
	g.config.Services = append(g.config.Services, service)
}

func (g *generator) servers(answer ServersAnswer) []config.Server {
	var servers []config.Server
	hosts := g.cells[answer.Zone]
	for i := range answer.Count {
		name := answer.name(i)
		if slices.Contains(answer.Except, name) {
			continue
		}
		address, _ := answer.Address.at(i)
		cell := hosts.cellName(answer.cell(i, hosts.cells()))
		servers = append(servers, config.Server{
			Name: name, Zone: answer.Zone, Cell: cell, Address: address, Weight: answer.weight(i),
		})
	}
	return servers
}
