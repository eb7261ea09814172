package questionnaire

import "net/netip"

// checkAddresses adds at most one fault per address pattern: for an address that another pattern or member already
// uses, or for an unspecified or multicast address, which does not identify a single host.
func (c *checker) checkAddresses() {
	used := make(map[string]string)
	for _, hosts := range c.answers.Hosts {
		c.checkAddressPattern(used, hosts.sectionName, "peer", hosts.Peer, hosts.Count)
		c.checkAddressPattern(used, hosts.sectionName, "caller", hosts.Caller, hosts.Count)
		c.checkAddressPattern(used, hosts.sectionName, "admin", hosts.Admin, hosts.Count)
	}
	for _, servers := range c.answers.Servers {
		c.checkAddressPattern(used, servers.sectionName, "address", servers.Address, servers.Count)
	}
}

func (c *checker) checkAddressPattern(used map[string]string, section, key string, pattern AddressPattern, count int) {
	if c.faultySections[section] {
		return
	}
	for i := range count {
		address, err := pattern.addressAt(i)
		if err != nil {
			continue
		}
		if isUnspecifiedOrMulticast(address) {
			c.faults.Add(section, key, address, "does not name one host", "use the address by which other hosts reach it")
			return
		}
		if other, ok := used[address]; ok {
			c.faults.Add(section, key, address, "is also used by "+other, "give each listener its own address")
			return
		}
		used[address] = "[" + section + "] " + key
	}
}

func isUnspecifiedOrMulticast(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && (parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast())
}
