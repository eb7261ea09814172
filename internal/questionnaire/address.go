package questionnaire

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// AddressPattern assigns an address to each host or backend server of a section. It is either a list with one
// address per member, or a single address whose IP address, port or both end with "+index"; the zero-based index
// of the member is then added to that part.
type AddressPattern struct {
	// Text is the pattern as written in the questionnaire.
	Text            string
	addresses       []netip.AddrPort
	addsIndexToIP   bool
	addsIndexToPort bool
}

// Errors returned by parseAddressPattern and addressAt.
var (
	errAddressSyntax   = errors.New("is not an address pattern")
	errIndexOutOfRange = errors.New("exceeds the last valid address or port")
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
	host, p.addsIndexToIP = strings.CutSuffix(text[:colon], indexSuffix)
	port, p.addsIndexToPort = strings.CutSuffix(text[colon+1:], indexSuffix)
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

// isIndexed reports whether addresses are computed by adding the index.
func (p AddressPattern) isIndexed() bool { return p.addsIndexToIP || p.addsIndexToPort }

// addressAt returns the address of the member with the given zero-based index.
func (p AddressPattern) addressAt(index int) (string, error) {
	if !p.isIndexed() {
		if index >= len(p.addresses) {
			return "", errIndexOutOfRange
		}
		return p.addresses[index].String(), nil
	}
	ip, port := p.addresses[0].Addr(), int(p.addresses[0].Port())
	if p.addsIndexToPort {
		port += index
	}
	if p.addsIndexToIP {
		ip = addToIP(ip, index)
	}
	if port > maxPort || !ip.IsValid() {
		return "", errIndexOutOfRange
	}
	return netip.AddrPortFrom(ip, uint16(port)).String(), nil
}

const maxPort = 65535

// addToIP returns ip + n, or the zero value if that exceeds the last address of the family.
func addToIP(ip netip.Addr, n int) netip.Addr {
	for range n {
		ip = ip.Next()
	}
	return ip
}

// splitList splits a comma-separated value, trims the items and drops empty ones.
func splitList(text string) []string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// indexedName returns PREFIX-KINDNN, where NN is the one-based number with at least two digits.
func indexedName(prefix, kind string, index int) string {
	number := strconv.Itoa(index + 1)
	if len(number) < 2 {
		number = "0" + number
	}
	return prefix + "-" + kind + number
}
