package bench

import (
	"fmt"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// cellsPerZone is the number of cells per availability zone at the target size: 11,000 hosts in 12 zones, 12 hosts in
// a cell.
const cellsPerZone = 77

// syntheticConfig returns a configuration with names and addresses of typical length and one sharded service, whose
// backend servers are spread over the cells.
func syntheticConfig(cells, hostsPerCell, partitions, servers int) *config.Config {
	document := &config.Config{Revision: 1, ID: "01900000-0000-7000-8000-000000000000", Team: "filtrex", Preference: config.PreferBalance}
	for cell := range cells {
		zone := fmt.Sprintf("zone-%02d", cell/cellsPerZone)
		if cell%cellsPerZone == 0 {
			document.Zones = append(document.Zones, config.Zone{Name: zone, Region: "moravia"})
		}
		for host := range hostsPerCell {
			document.Hosts = append(document.Hosts, syntheticHost(zone, cell, host))
		}
	}
	service := config.Service{
		Name: "tracker", Keyed: true, Partitions: partitions, Fenced: true, Slots: 3, MaxConnections: 120, MaxRequestMillis: 400,
		Idempotent: []config.Rule{{Method: "GET", Path: "/**"}},
	}
	for i := range servers {
		cell := i % cells
		service.Servers = append(service.Servers, config.Server{
			Name:    fmt.Sprintf("tracker-%05d", i),
			Zone:    fmt.Sprintf("zone-%02d", cell/cellsPerZone),
			Cell:    fmt.Sprintf("cell-%04d", cell),
			Address: fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250),
		})
	}
	document.Services = []config.Service{service}
	return document
}

func syntheticHost(zone string, cell, host int) config.Host {
	ip := fmt.Sprintf("10.%d.%d.%d", cell/250, cell%250, host+10)
	return config.Host{
		Name:          fmt.Sprintf("entry-%04d-%02d", cell, host),
		Zone:          zone,
		Cell:          fmt.Sprintf("cell-%04d", cell),
		Rack:          fmt.Sprintf("rack-%02d", host/3),
		PeerAddress:   ip + ":7000",
		CallerAddress: ip + ":7080",
		AdminAddress:  ip + ":7090",
	}
}
