package config

import (
	"net/netip"
	"strconv"
)

// Validate returns every fault of the configuration, or nil. It does not look at the revision and the id,
// which Accept sets. The error is of type Faults.
func (c *Config) Validate() error {
	v := &validator{
		config:    c,
		zones:     make(map[string]Zone),
		cellZones: make(map[string]string),
		names:     make(map[string]string),
		addresses: make(map[netip.AddrPort]string),
	}
	v.team()
	v.checkZones()
	v.checkHosts()
	v.checkCells()
	v.checkServices()
	v.checkStops()
	return v.faults.Err()
}

// validator collects the faults of one configuration.
type validator struct {
	config    *Config
	faults    ValidationErrors
	zones     map[string]Zone
	cellZones map[string]string
	// names maps each host and backend server to its section. A stop names either, so both share one space.
	names     map[string]string
	addresses map[netip.AddrPort]string
}

func (v *validator) add(section, key, value, problem, remedy string) {
	v.faults.Add(section, key, value, problem, remedy)
}

func (v *validator) team() {
	if !IsName(v.config.Team) {
		v.add("team", "name", v.config.Team, "is not a name", nameRemedy)
	}
	switch v.config.Preference {
	case PreferAvailability, PreferBalance:
	default:
		v.add("preference", "favour", string(v.config.Preference), "is not a preference",
			"use unavailable-time or imbalance")
	}
}

func (v *validator) checkZones() {
	lost := 0
	for _, zone := range v.config.Zones {
		section := "zone " + zone.Name
		v.name(section, zone.Name)
		if !IsName(zone.Region) {
			v.add(section, "region", zone.Region, "is not a name", nameRemedy)
		}
		if _, ok := v.zones[zone.Name]; ok {
			v.add(section, "name", zone.Name, "appears twice", "name each availability zone once")
		}
		v.zones[zone.Name] = zone
		if zone.Lost {
			lost++
		}
	}
	switch {
	case len(v.config.Zones) == 0:
		v.add("zones", "", "", "no availability zone is named", "name at least one")
	case len(v.config.Zones) > MaxZones:
		v.add("zones", "", strconv.Itoa(len(v.config.Zones)), "too many availability zones",
			"name at most "+strconv.Itoa(MaxZones))
	case lost == len(v.config.Zones):
		v.add("zones", "lost", "", "every availability zone is declared lost", "leave at least one zone in service")
	}
}

func (v *validator) name(section, name string) {
	if !IsName(name) {
		v.add(section, "name", name, "is not a name", nameRemedy)
	}
}

// unique records the name of a host or backend server.
func (v *validator) unique(section, name string) {
	v.name(section, name)
	if other, ok := v.names[name]; ok {
		v.add(section, "name", name, "is also the name in ["+other+"]", "give each host and backend server its own name")
		return
	}
	v.names[name] = section
}

// address checks one address and that nothing else listens on it.
func (v *validator) address(section, key, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		v.add(section, key, value, "is not an IP address with a port", "write it as 10.0.0.1:7000 or [fd00::1]:7000")
		return
	}
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		v.add(section, key, value, "does not name one host", "use the address by which other hosts reach it")
		return
	}
	place := "[" + section + "] " + key
	if other, ok := v.addresses[address]; ok {
		v.add(section, key, value, "is also used by "+other, "give each listener its own address")
		return
	}
	v.addresses[address] = place
}

// IsName reports whether text can name a team, zone, cell, host, service or backend server: lower-case
// letters, digits and hyphens, starting with a letter and not ending with a hyphen.
func IsName(text string) bool {
	if len(text) == 0 || len(text) > MaxNameBytes {
		return false
	}
	for _, r := range []byte(text) {
		if !isNameByte(r) {
			return false
		}
	}
	return text[0] >= 'a' && text[0] <= 'z' && text[len(text)-1] != '-'
}

func isNameByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= '0' && b <= '9' || b == '-'
}

const nameRemedy = "use at most 63 lower-case letters, digits and hyphens, starting with a letter"
