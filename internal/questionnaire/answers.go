// Package questionnaire reads the answers of a team and generates its configuration from them.
package questionnaire

import "github.com/sapphireplank/sapphireplank/internal/config"

// Answers are the answers of a team, as the questionnaire gives them.
type Answers struct {
	Team       string
	Preference config.Preference
	// Tolerated are the losses that the deployment must be large enough for.
	Tolerated []Loss
	// LostZones are the zones of which the operator declares that nothing runs any more.
	LostZones []string
	Zones     []ZoneAnswer
	Hosts     []HostsAnswer
	Services  []ServiceAnswer
	Servers   []ServersAnswer
}

// Loss is a kind of loss that a deployment tolerates.
type Loss string

// Losses that can be tolerated.
const (
	LossGateway Loss = "gateway"
	LossStore   Loss = "store"
	LossZone    Loss = "zone"
	LossRack    Loss = "rack"
	// LossZoneAndGateway is the isolation of a zone together with the loss of one of its gateways.
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
	// Count includes the hosts in Except, so that the others keep their number and cell.
	Count  int
	Except []string
	// Cells is the number of cells, or 0 to derive it from Count.
	Cells         int
	Racks         []string
	Peer          AddressPattern
	Caller        AddressPattern
	Admin         AddressPattern
	sectionOrigin string
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
	// defaulted names the keys that had no answer.
	defaulted map[string]bool
}

// ServersAnswer describes the backend servers of one service in one zone.
type ServersAnswer struct {
	Service string
	Zone    string
	// Count includes the servers in Except.
	Count         int
	Except        []string
	Address       AddressPattern
	Weights       []float64
	sectionOrigin string
}
