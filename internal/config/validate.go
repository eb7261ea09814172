package config

import (
	"net/netip"
	"strconv"
)

// Validate returns all validation errors of the configuration as ValidationErrors, or nil. It does not check the
// revision and the id, which are set when the configuration is accepted.
func (c *Config) Validate() error {
	v := &validator{
		config:    c,
		zones:     make(map[string]Zone),
		cellZones: make(map[string]string),
		names:     make(map[string]string),
		addresses: make(map[netip.AddrPort]string),
	}
	v.checkTeam()
	v.checkZones()
	v.checkHosts()
	v.checkCells()
	v.checkServices()
	v.checkStops()
	return v.errs.Err()
}

// validator collects the validation errors of one configuration.
type validator struct {
	config    *Config
	errs      ValidationErrors
	zones     map[string]Zone
	cellZones map[string]string
	// names maps each host and backend server to its section. Both share one namespace, because the target of a stop
	// can be either.
	names map[string]string
	// addresses maps each address to the section and setting that use it.
	addresses map[netip.AddrPort]string
}

func (v *validator) add(section, key, value, problem, remedy string) {
	v.errs.Add(section, key, value, problem, remedy)
}

func (v *validator) checkTeam() {
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
		v.checkName(section, zone.Name)
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

func (v *validator) checkName(section, name string) {
	if !IsName(name) {
		v.add(section, "name", name, "is not a name", nameRemedy)
	}
}

// checkUniqueName checks the name of a host or backend server and that no other one has it.
func (v *validator) checkUniqueName(section, name string) {
	v.checkName(section, name)
	if other, ok := v.names[name]; ok {
		v.add(section, "name", name, "is also the name in ["+other+"]", "give each host and backend server its own name")
		return
	}
	v.names[name] = section
}

// checkAddress checks an IP address and port and that no other setting uses it.
func (v *validator) checkAddress(section, key, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		v.add(section, key, value, "is not an IP address with a port", "write it as 10.0.0.1:7000 or [fd00::1]:7000")
		return
	}
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		v.add(section, key, value, "does not name one host", "use the address by which other hosts reach it")
		return
	}
	listener := "[" + section + "] " + key
	if other, ok := v.addresses[address]; ok {
		v.add(section, key, value, "is also used by "+other, "give each listener its own address")
		return
	}
	v.addresses[address] = listener
}

// IsName reports whether text is a valid name of a team, region, zone, cell, rack, host, service or backend server: at
// most MaxNameBytes lower-case letters, digits and hyphens, starting with a letter and not ending with a hyphen.
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
