package questionnaire

import (
	"fmt"
	"slices"
	"strconv"
)

// Minimum sizes that are needed to tolerate a failure.
const (
	// minCellHostsForGatewayLoss ensures that the cell has a successor, which takes over if the holder (the gateway that
	// decides ownership) fails.
	minCellHostsForGatewayLoss = 2
	// minCellHostsForZoneAndGatewayLoss allows a holder, a successor and an arbiter, which decides between the claims of
	// the two, inside an isolated zone.
	minCellHostsForZoneAndGatewayLoss = 3
	// minServiceZonesForZoneLoss ensures that one zone with backend servers of the service remains.
	minServiceZonesForZoneLoss = 2
)

// checkLosses checks that the deployment is large enough to tolerate the failures that the questionnaire lists.
func (c *checker) checkLosses() {
	for _, loss := range c.answers.Tolerated {
		switch loss {
		case LossGateway:
			c.checkHostsPerCell(loss, minCellHostsForGatewayLoss)
		case LossZoneAndGateway:
			c.checkHostsPerCell(loss, minCellHostsForZoneAndGatewayLoss)
			c.checkZonesPerService(loss)
		case LossZone:
			c.checkZonesPerService(loss)
		case LossRack:
			c.checkRacksPerCell(loss)
		case LossStore:
			// A deployment of any size keeps running without the store.
		}
	}
}

func (c *checker) isLostZone(zone string) bool { return slices.Contains(c.answers.LostZones, zone) }

func (c *checker) checkHostsPerCell(loss Loss, minHosts int) {
	for _, hosts := range c.answers.Hosts {
		if c.isLostZone(hosts.Zone) {
			continue
		}
		for cell, size := range hosts.cellSizes() {
			if size < minHosts {
				c.faults.Add("losses", "tolerated", string(loss),
					fmt.Sprintf("needs %d hosts in each cell, and cell %s has %d", minHosts, hosts.cellName(cell), size),
					"raise count in ["+hosts.sectionName+"], or remove "+string(loss))
				return
			}
		}
	}
}

func (c *checker) checkZonesPerService(loss Loss) {
	for _, service := range c.answers.Services {
		zones := 0
		for _, servers := range c.answers.Servers {
			if servers.Service == service.Name && !c.isLostZone(servers.Zone) {
				zones++
			}
		}
		if zones < minServiceZonesForZoneLoss {
			c.faults.Add("losses", "tolerated", string(loss),
				"needs backend servers of service "+service.Name+" in 2 zones, and it has them in "+strconv.Itoa(zones),
				"add [servers "+service.Name+" ZONE] for another zone, or remove "+string(loss))
			return
		}
	}
}

func (c *checker) checkRacksPerCell(loss Loss) {
	for _, hosts := range c.answers.Hosts {
		racks := make(map[string]map[string]bool)
		for i := range hosts.Count {
			cell := hosts.cellOfHost(i)
			if racks[cell] == nil {
				racks[cell] = make(map[string]bool)
			}
			if !slices.Contains(hosts.Except, hosts.hostName(i)) {
				racks[cell][hosts.rackOfHost(i)] = true
			}
		}
		for cell := range hosts.cellSizes() {
			if name := hosts.cellName(cell); len(racks[name]) < 2 {
				c.faults.Add("losses", "tolerated", string(loss), "needs hosts of cell "+name+" in 2 racks",
					"set rack in ["+hosts.sectionName+"] with one rack for each host, or remove rack")
				return
			}
		}
	}
}
