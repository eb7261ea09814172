package config

import (
	"fmt"
	"strconv"
	"time"
)

func (v *validator) checkHosts() {
	if len(v.config.Hosts) == 0 {
		v.add("hosts", "", "", "no entry host is named", "name at least one")
	}
	for _, host := range v.config.Hosts {
		section := "host " + host.Name
		v.checkUniqueName(section, host.Name)
		v.checkCell(section, host.Zone, host.Cell)
		if host.Rack != "" && !IsName(host.Rack) {
			v.add(section, "rack", host.Rack, "is not a name", nameRemedy)
		}
		v.checkAddress(section, "peer_address", host.PeerAddress)
		v.checkAddress(section, "caller_address", host.CallerAddress)
		v.checkAddress(section, "admin_address", host.AdminAddress)
	}
}

func (v *validator) checkCell(section, zone, cell string) {
	if _, ok := v.zones[zone]; !ok {
		v.add(section, "zone", zone, "is not an availability zone of the configuration", "name one of the zones")
	}
	if !IsName(cell) {
		v.add(section, "cell", cell, "is not a name", nameRemedy)
		return
	}
	if other, ok := v.cellZones[cell]; ok && other != zone {
		v.add(section, "cell", cell, fmt.Sprintf("lies in the zones %s and %s", other, zone),
			"keep each cell within one availability zone")
		return
	}
	v.cellZones[cell] = zone
}

// checkCells checks the number of cells and of hosts in each.
func (v *validator) checkCells() {
	cells := v.config.Cells()
	if len(cells) > MaxCells {
		v.add("hosts", "cell", strconv.Itoa(len(cells)), "too many cells", "use larger cells")
	}
	sizes := make(map[string]int)
	for _, host := range v.config.Hosts {
		sizes[host.Cell]++
	}
	for _, cell := range cells {
		if sizes[cell] > MaxCellHosts {
			v.add("cell "+cell, "hosts", strconv.Itoa(sizes[cell]), "too many hosts",
				fmt.Sprintf("keep at most %d hosts in a cell", MaxCellHosts))
		}
	}
}

func (v *validator) checkStops() {
	if len(v.config.Stops) > MaxStops {
		v.add("stops", "", strconv.Itoa(len(v.config.Stops)), "too many planned stops",
			"cancel stops that are over; at most "+strconv.Itoa(MaxStops)+" can be announced")
	}
	seen := make(map[string]bool)
	for _, stop := range v.config.Stops {
		section := "stop " + stop.Target
		if _, ok := v.names[stop.Target]; !ok {
			v.add(section, "target", stop.Target, "is neither a host nor a backend server", "name one of the configuration")
		}
		if seen[stop.Target] {
			v.add(section, "target", stop.Target, "has two planned stops", "cancel one of them")
		}
		seen[stop.Target] = true
		if stop.At.IsZero() {
			v.add(section, "at", "", "has no time", "give the time as 2026-01-31T14:00:00Z")
		}
		v.checkStopDuration(section, stop.ForSeconds)
		v.checkRemainingHosts(section, stop)
	}
}

// checkRemainingHosts rejects a stop that leaves no host of its cell running to take over. A cell with a single host is
// exempt, since it has no other host at any time.
func (v *validator) checkRemainingHosts(section string, stop Stop) {
	host, ok := v.config.Host(stop.Target)
	if !ok {
		return
	}
	hosts := v.config.CellHosts(host.Cell)
	for _, other := range hosts {
		if len(hosts) == 1 || !v.config.isStopped(other.Name, stop.At) {
			return
		}
	}
	v.add(section, "at", stop.At.UTC().Format(time.RFC3339), "every host of cell "+host.Cell+" would be stopped at this time",
		"choose a time at which another host of the cell stays")
}

// isStopped reports whether a host has a planned stop at the given time.
func (c *Config) isStopped(name string, at time.Time) bool {
	for _, stop := range c.Stops {
		if stop.Target == name && !at.Before(stop.At) && at.Before(stop.End()) {
			return true
		}
	}
	return false
}

func (v *validator) checkStopDuration(section string, seconds int64) {
	if seconds < 1 || seconds > int64(MaxStopDuration/time.Second) {
		v.add(section, "for_seconds", strconv.FormatInt(seconds, 10), "is out of range",
			fmt.Sprintf("use 1 to %d seconds", int64(MaxStopDuration/time.Second)))
	}
}
