package questionnaire

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Derivation describes how one value of the generated configuration was derived from the answers.
type Derivation struct {
	// Value names the derived value, for example "service tracker: connections used".
	Value string `json:"value"`
	// Amount is the derived value with its unit.
	Amount string `json:"amount"`
	// From lists the answers that determine the value, each as "[section] key".
	From []string `json:"from"`
	// Rule describes the derivation in words.
	Rule string `json:"rule"`
}

// String formats the derivation as one line.
func (d Derivation) String() string {
	return fmt.Sprintf("%s = %s; from %s; %s", d.Value, d.Amount, strings.Join(d.From, ", "), d.Rule)
}

func (g *generator) addDerivation(value, amount, rule string, from ...string) {
	g.derivations = append(g.derivations, Derivation{Value: value, Amount: amount, From: from, Rule: rule})
}

// addDerivations fills in the derivations. The configuration must already be valid.
func (g *generator) addDerivations() {
	g.deriveTeam()
	for _, hosts := range g.answers.Hosts {
		g.deriveHosts(hosts)
	}
	for i, service := range g.answers.Services {
		g.deriveService(service, &g.config.Services[i])
	}
}

func (g *generator) deriveTeam() {
	g.addDerivation("team "+g.answers.Team+": preference", string(g.answers.Preference),
		"the assignment of keys gives this measure the most weight", "[preference] favour")
	g.addDerivation("team "+g.answers.Team+": losses checked", strconv.Itoa(len(g.answers.Tolerated))+" kinds of loss",
		"hosts, racks and zones are enough for each of them", "[losses] tolerated")
}

func (g *generator) deriveHosts(h HostsAnswer) {
	from := "[" + h.sectionName + "] count"
	rule := fmt.Sprintf("the least number with at most %d hosts each; hosts are dealt out in turn", config.MaxCellHosts)
	if h.Cells > 0 {
		from = "[" + h.sectionName + "] cells"
		rule = "as answered; hosts are dealt out in turn"
	}
	g.addDerivation("zone "+h.Zone+": cells", strconv.Itoa(h.cellCount())+" cells", rule, from)
	first, last := h.hostConfig(0), h.hostConfig(h.Count-1)
	addresses := fmt.Sprintf("peer %s to %s, caller %s to %s, admin %s to %s", first.PeerAddress, last.PeerAddress,
		first.CallerAddress, last.CallerAddress, first.AdminAddress, last.AdminAddress)
	section := "[" + h.sectionName + "] "
	g.addDerivation("zone "+h.Zone+": addresses of hosts", addresses, "one for each host, index from 0",
		section+"peer", section+"caller", section+"admin")
}

func (g *generator) deriveService(a ServiceAnswer, s *config.Service) {
	section, name := "[service "+a.Name+"] ", "service "+a.Name+": "
	if a.Keyed {
		g.addDerivation(name+"partitions", strconv.Itoa(s.Partitions)+" partitions",
			derivationRule(a.usesDefault["partitions"]), section+"partitions")
		g.derivePlacement(name, s)
	}
	g.addDerivation(name+"longest execution", strconv.Itoa(s.MaxRequestMillis)+" ms",
		derivationRule(a.usesDefault["max-request-millis"]), section+"max-request-millis")
	g.addDerivation(name+"connections used",
		strconv.Itoa(s.Slots+config.SpareConnections)+" connections per backend server",
		"slots and one connection each for probes and grants, below connections", section+"slots", section+"connections")
	g.addDerivation(name+"capacity", strconv.Itoa(s.Slots*len(s.Servers))+" requests at a time",
		fmt.Sprintf("%d slots at each of %d backend servers", s.Slots, len(s.Servers)), section+"slots",
		"[servers "+a.Name+" ZONE] count")
	if a.Fenced {
		g.addDerivation(name+"safety of moves", "fencing tokens",
			"backend servers reject requests with an older fencing token", section+"checks-fencing-tokens")
	} else {
		g.addDerivation(name+"safety of moves", "leases and deadlines", "backend servers get no grants and are only probed",
			section+"checks-fencing-tokens")
	}
	g.addDerivation(name+"requests that are never sent twice", fmt.Sprintf("all but %d patterns", len(s.Idempotent)),
		"a request that matches no pattern runs at most once", section+"idempotent")
}

func derivationRule(usesDefault bool) string {
	if usesDefault {
		return "default, because there is no answer"
	}
	return "as answered"
}

// derivePlacement adds the number of partitions that each cell gets.
func (g *generator) derivePlacement(name string, s *config.Service) {
	counts := make(map[string]int)
	placement := g.config.Place(s)
	for _, cell := range placement.ByPartition {
		counts[placement.Cells[cell]]++
	}
	for _, cell := range placement.Cells {
		g.addDerivation(name+"partitions in cell "+cell, strconv.Itoa(counts[cell])+" partitions",
			"in proportion to the weights of the backend servers of the cell", "[servers "+s.Name+" ZONE] weight")
	}
}
