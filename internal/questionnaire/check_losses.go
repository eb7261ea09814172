package questionnaire

import (
	"fmt"
	"slices"
	"strconv"
)

// Hosts that a cell needs so that a loss is tolerated.
const (
	// hostsForGateway leaves a successor when the holder is lost.
	hostsForGateway = 2
	// hostsForZoneAndGateway leaves a holder, a successor and an arbiter inside an isolated zone.
	hostsForZoneAndGateway = 3
	// zonesForZone leaves a zone with backend servers.
	zonesForZone = 2
)

// checkLosses checks that the deployment is large enough for the losses that it shall tolerate.
func (c *checker) checkLosses() {
	for _, loss := range c.answers.Tolerated {
		switch loss {
		case LossGateway:
			c.hostsPerCell(loss, hostsForGateway)
		case LossZoneAndGateway:
			c.hostsPerCell(loss, hostsForZoneAndGateway)
			c.zonesPerService(loss)
		case LossZone:
			c.zonesPerService(loss)
		case LossRack:
			c.racksPerCell(loss)
		case LossStore:
			// Every deployment continues without the store.
		}
	}
}

func (c *checker) isLost(zone string) bool { return slices.Contains(c.answers.LostZones, zone) }

func (c *checker) hostsPerCell(loss Loss, least int) {
	for _, hosts := range c.answers.Hosts {
		if c.isLost(hosts.Zone) {
			continue
		}
		for cell, size := range hosts.cellSizes() {
			if size < least {
				c.faults.Add("losses", "tolerated", string(loss),
					fmt.Sprintf("needs %d hosts in each cell, and cell %s has %d", least, hosts.cellName(cell), size),
					"raise count in ["+hosts.sectionOrigin+"], or remove "+string(loss))
				return
			}
		}
	}
}

func (c *checker) zonesPerService(loss Loss) {
	for _, service := range c.answers.Services {
		zones := 0
		for _, servers := range c.answers.Servers {
			if servers.Service == service.Name && !c.isLost(servers.Zone) {
				zones++
			}
		}
		if zones < zonesForZone {
			c.faults.Add("losses", "tolerated", string(loss),
				"needs backend servers of service "+service.Name+" in 2 zones, and it has them in "+strconv.Itoa(zones),
				"add [servers "+service.Name+" ZONE] for another zone, or remove "+string(loss))
			return
		}
	}
}

func (c *checker) racksPerCell(loss Loss) {
	for _, hosts := range c.answers.Hosts {
		racks := make(map[string]map[string]bool)
		for i := range hosts.Count {
			cell := hosts.cell(i)
			if racks[cell] == nil {
				racks[cell] = make(map[string]bool)
			}
			if !slices.Contains(hosts.Except, hosts.name(i)) {
				racks[cell][hosts.rack(i)] = true
			}
		}
		for cell := range hosts.cellSizes() {
			if name := hosts.cellName(cell); len(racks[name]) < 2 {
				c.faults.Add("losses", "tolerated", string(loss), "needs hosts of cell "+name+" in 2 racks",
					"answer rack in ["+hosts.sectionOrigin+"] with one rack for each host, or remove rack")
				return
			}
		}
	}
}
