package questionnaire

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// Derivation explains one value of the generated configuration.
type Derivation struct {
	// Value names the value, for example "service tracker: connections of a home".
	Value string `json:"value"`
	// Amount is the value with its unit.
	Amount string `json:"amount"`
	// From names the answers that it was derived from, as "[section] key".
	From []string `json:"from"`
	// Rule says how it was derived.
	Rule string `json:"rule"`
}

// String returns the explanation as one line.
func (d Derivation) String() string {
	return fmt.Sprintf("%s = %s; from %s; %s", d.Value, d.Amount, strings.Join(d.From, ", "), d.Rule)
}

func (g *generator) derive(value, amount, rule string, from ...string) {
	g.derived = append(g.derived, Derivation{Value: value, Amount: amount, From: from, Rule: rule})
}

// explain derives the explanations of a configuration without faults.
func (g *generator) explain() {
	g.explainTeam()
	for _, hosts := range g.answers.Hosts {
		g.explainHosts(hosts)
	}
	for i, service := range g.answers.Services {
		g.explainService(service, &g.config.Services[i])
	}
}

func (g *generator) explainTeam() {
	g.derive("team "+g.answers.Team+": preference", string(g.answers.Preference),
		"the assignment of keys gives this measure the most weight", "[preference] favour")
	g.derive("team "+g.answers.Team+": losses checked", strconv.Itoa(len(g.answers.Tolerated))+" kinds of loss",
		"hosts, racks and zones are enough for each of them", "[losses] tolerated")
}

func (g *generator) explainHosts(h HostsAnswer) {
	from := "[" + h.sectionOrigin + "] count"
	rule := fmt.Sprintf("the least number with at most %d hosts each; hosts are dealt out in turn", config.MaxCellHosts)
	if h.Cells > 0 {
		from = "[" + h.sectionOrigin + "] cells"
		rule = "as answered; hosts are dealt out in turn"
	}
	g.derive("zone "+h.Zone+": cells", strconv.Itoa(h.cells())+" cells", rule, from)
	first, last := h.host(0), h.host(h.Count-1)
	addresses := fmt.Sprintf("peer %s to %s, caller %s to %s, admin %s to %s", first.PeerAddress, last.PeerAddress,
		first.CallerAddress, last.CallerAddress, first.AdminAddress, last.AdminAddress)
	section := "[" + h.sectionOrigin + "] "
	g.derive("zone "+h.Zone+": addresses of hosts", addresses, "one for each host, index from 0",
		section+"peer", section+"caller", section+"admin")
}

func (g *generator) explainService(a ServiceAnswer, s *config.Service) {
	section, name := "[service "+a.Name+"] ", "service "+a.Name+": "
	if a.Keyed {
		g.derive(name+"partitions", strconv.Itoa(s.Partitions)+" partitions", defaultRule(a.defaulted["partitions"]),
			section+"partitions")
		g.explainPlacement(name, s)
	}
	g.derive(name+"longest execution", strconv.Itoa(s.MaxRequestMillis)+" ms",
		defaultRule(a.defaulted["max-request-millis"]), section+"max-request-millis")
	g.derive(name+"connections used", strconv.Itoa(s.Slots+config.SpareConnections)+" connections per backend server",
		"slots and one connection each for probes and grants, below connections", section+"slots", section+"connections")
	g.derive(name+"capacity", strconv.Itoa(s.Slots*len(s.Servers))+" requests at a time",
		fmt.Sprintf("%d slots at each of %d backend servers", s.Slots, len(s.Servers)), section+"slots",
		"[servers "+a.Name+" ZONE] count")
	if a.Fenced {
		g.derive(name+"safety of moves", "fencing tokens", "backend servers refuse an older owner", section+"checks-fencing-tokens")
	} else {
		g.derive(name+"safety of moves", "leases and deadlines", "backend servers get no grants and are only probed",
			section+"checks-fencing-tokens")
	}
	g.derive(name+"requests that are never sent twice", fmt.Sprintf("all but %d patterns", len(s.Idempotent)),
		"whatever no pattern matches runs at most once", section+"idempotent")
}

func defaultRule(defaulted bool) string {
	if defaulted {
		return "default, because there is no answer"
	}
	return "as answered"
}

// explainPlacement shows how many partitions each cell gets.
func (g *generator) explainPlacement(name string, s *config.Service) {
	counts := make(map[string]int)
	placement := g.config.Place(s)
	for _, cell := range placement.ByPartition {
		counts[placement.Cells[cell]]++
	}
	for _, cell := range placement.Cells {
		g.derive(name+"partitions in cell "+cell, strconv.Itoa(counts[cell])+" partitions",
			"in proportion to the weights of the backend servers of the cell", "[servers "+s.Name+" ZONE] weight")
	}
}
