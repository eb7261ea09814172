package questionnaire

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// AddressPattern yields the address of each host or backend server of a section. It is either a list with
// one address each, or a single address in which the IP address, the port or both end with "+index". The
// index counts from 0.
type AddressPattern struct {
	// Text is the pattern as the questionnaire gives it.
	Text      string
	addresses []netip.AddrPort
	indexIP   bool
	indexPort bool
}

// Errors of parseAddressPattern and at.
var (
	errAddressSyntax = errors.New("is not an address pattern")
	errAddressRange  = errors.New("runs past the last address or port")
)

const indexSuffix = "+index"

func parseAddressPattern(text string) (AddressPattern, error) {
	pattern := AddressPattern{Text: text}
	if strings.Contains(text, indexSuffix) {
		return pattern, pattern.parseIndexed(text)
	}
	for _, item := range splitList(text) {
		address, err := parseAddress(item)
		if err != nil {
			return pattern, err
		}
		pattern.addresses = append(pattern.addresses, address)
	}
	return pattern, nil
}

func (p *AddressPattern) parseIndexed(text string) error {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 {
		return errAddressSyntax
	}
	var host, port string
	host, p.indexIP = strings.CutSuffix(text[:colon], indexSuffix)
	port, p.indexPort = strings.CutSuffix(text[colon+1:], indexSuffix)
	address, err := parseAddress(host + ":" + port)
	if err != nil {
		return err
	}
	p.addresses = []netip.AddrPort{address}
	return nil
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, errAddressSyntax
	}
	return address, nil
}

// isIndexed reports whether the pattern computes addresses from the index.
func (p AddressPattern) isIndexed() bool { return p.indexIP || p.indexPort }

// at returns the address with the given index.
func (p AddressPattern) at(index int) (string, error) {
	if !p.isIndexed() {
		if index >= len(p.addresses) {
			return "", errAddressRange
		}
		return p.addresses[index].String(), nil
	}
	ip, port := p.addresses[0].Addr(), int(p.addresses[0].Port())
	if p.indexPort {
		port += index
	}
	if p.indexIP {
		ip = addToIP(ip, index)
	}
	if port > maxPort || !ip.IsValid() {
		return "", errAddressRange
	}
	return netip.AddrPortFrom(ip, uint16(port)).String(), nil
}

const maxPort = 65535

// addToIP returns the address that lies n after ip, or the zero value past the last one.
func addToIP(ip netip.Addr, n int) netip.Addr {
	for range n {
		ip = ip.Next()
	}
	return ip
}

// splitList splits a comma-separated answer. Empty items are dropped.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// indexedName returns the name of the host or backend server with the given index.
func indexedName(prefix, letter string, index int) string {
	number := strconv.Itoa(index + 1)
	if len(number) < 2 {
		number = "0" + number
	}
	return prefix + "-" + letter + number
}
