// Package questionnaire parses a team's questionnaire, which is an INI file, and generates the team's configuration
// from the answers.
package questionnaire

import "github.com/sapphireplank/sapphireplank/internal/config"

// Answers is the parsed questionnaire of a team.
type Answers struct {
	Team       string
	Preference config.Preference
	// Tolerated lists the failures that the deployment must be sized to tolerate.
	Tolerated []Loss
	// LostZones lists the zones in which, as the operator declares, nothing is running any more.
	LostZones []string
	Zones     []ZoneAnswer
	Hosts     []HostsAnswer
	Services  []ServiceAnswer
	Servers   []ServersAnswer
}

// Loss is a kind of failure that a deployment can be required to tolerate.
type Loss string

// Supported values of Loss.
const (
	LossGateway Loss = "gateway"
	LossStore   Loss = "store"
	LossZone    Loss = "zone"
	LossRack    Loss = "rack"
	// LossZoneAndGateway is the isolation of a zone combined with the failure of one of its gateways.
	LossZoneAndGateway Loss = "zone-and-gateway"
)

// ZoneAnswer describes an availability zone.
type ZoneAnswer struct {
	Name   string
	Region string
}

// HostsAnswer describes the entry hosts of one zone.
type HostsAnswer struct {
	Zone string
	// Count includes the hosts in Except, so that removing a host does not change the number or cell of the others.
	Count  int
	Except []string
	// Cells is the number of cells; 0 means that it is derived from Count.
	Cells       int
	Racks       []string
	Peer        AddressPattern
	Caller      AddressPattern
	Admin       AddressPattern
	sectionName string
}

// ServiceAnswer describes a service.
type ServiceAnswer struct {
	Name             string
	Keyed            bool
	Partitions       int
	Fenced           bool
	Slots            int
	Connections      int
	MaxRequestMillis int
	Idempotent       []config.Rule
	// usesDefault is the set of keys for which the default applies because the questionnaire gives no value.
	usesDefault map[string]bool
}

// ServersAnswer describes the backend servers of one service in one zone.
type ServersAnswer struct {
	Service string
	Zone    string
	// Count includes the servers listed in Except.
	Count       int
	Except      []string
	Address     AddressPattern
	Weights     []float64
	sectionName string
}
