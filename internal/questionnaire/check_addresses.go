package questionnaire

import "net/netip"

// checkAddresses adds one fault for each answer whose addresses are used twice or name no single host.
func (c *checker) checkAddresses() {
	used := make(map[string]string)
	for _, hosts := range c.answers.Hosts {
		c.addresses(used, hosts.sectionOrigin, "peer", hosts.Peer, hosts.Count)
		c.addresses(used, hosts.sectionOrigin, "caller", hosts.Caller, hosts.Count)
		c.addresses(used, hosts.sectionOrigin, "admin", hosts.Admin, hosts.Count)
	}
	for _, servers := range c.answers.Servers {
		c.addresses(used, servers.sectionOrigin, "address", servers.Address, servers.Count)
	}
}

func (c *checker) addresses(used map[string]string, section, key string, pattern AddressPattern, count int) {
	if c.broken[section] {
		return
	}
	for i := range count {
		address, err := pattern.at(i)
		if err != nil {
			continue
		}
		if isWildcard(address) {
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

func isWildcard(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && (parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast())
}
