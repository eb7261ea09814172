// Package questionnairetest holds the bad questionnaires that the tests of several packages read.
package questionnairetest

import (
	"bytes"

	"github.com/sapphireplank/sapphireplank/internal/questionnaire"
)

// InvalidCase is an edit that puts exactly one fault into the template.
type InvalidCase struct {
	// Old is replaced by New once. An empty Old appends New.
	Old, New string
	// WantFault is part of the line that names section, key, value and problem.
	WantFault string
}

// Text returns the template with the edit.
func (b InvalidCase) Text() []byte {
	if b.Old == "" {
		return append(bytes.Clone(questionnaire.Template), b.New...)
	}
	return bytes.Replace(questionnaire.Template, []byte(b.Old), []byte(b.New), 1)
}

// InvalidCases are the bad questionnaires.
var InvalidCases = []InvalidCase{
	{"name = my-team", "", `[team] name: has no answer`},
	{"name = my-team", "name = My Team", `[team] name = "My Team": is not a name`},
	{"name = my-team", "name = a\nname = b", `[team] name = "a and b": is answered twice`},
	{"name = my-team", "name = a\nnam = b", `[team] nam = "b": is not a question`},
	{"[team]", "name = x\n[team]", `[questionnaire] name = "x": stands before the first section`},
	{"[team]\n", "[team]\nname", `[questionnaire]: cannot be read: key-value delimiter not found`},
	{"[team]", "[team", `[questionnaire]: cannot be read: unclosed section`},
	{"[team]", "[teams]", `[teams]: is not a section`},
	{"my-team", "caf\xe9", `[questionnaire]: is not UTF-8 text`},
	{"my-team", "a\x00b", `[questionnaire]: is not UTF-8 text`},
	{"", string(bytes.Repeat([]byte("#\n"), questionnaire.MaxBytes/2)), `[questionnaire] = "`},
	{"", "[team]\nname = again\n", `[team]: appears twice`},
	{"[preference]", "[losses x]", `[losses x]: is not a section`},
	{"[preference]\n# What the assignment of keys gives the most weight: unavailable-time or imbalance.\nfavour = unavailable-time\n", "", `[preference]: is missing`},
	{"favour = unavailable-time", "favour = speed", `[preference] favour = "speed": is not one of the choices`},
	{"favour = unavailable-time", "favour =", `[preference] favour: has no answer`},
	{"favour = unavailable-time", "favor = imbalance\nfavour = imbalance", `[preference] favor = "imbalance": is not a question`},
	{"tolerated = gateway, store, zone", "tolerated = gateway, meteor", `[losses] tolerated = "meteor": is not a loss`},
	{"tolerated = gateway, store, zone", "tolerated = zone, zone", `[losses] tolerated = "zone": is listed twice`},
	{"tolerated = gateway, store, zone", "tolerated =", `[losses] tolerated: has no answer`},
	{"tolerated = gateway", "tolerated = zone-and-gateway, gateway", `[losses] tolerated = "zone-and-gateway": needs 3 hosts in each cell`},
	{"isolated-zone = serve", "isolated-zone = stop", `[losses] isolated-zone = "stop": is not what an isolated zone can do`},
	{"# lost-zones =", "lost-zones = zone-c", `[losses] lost-zones = "zone-c": is in no [region] section`},
	{"# lost-zones =", "lost-zones = zone-a, zone-b", `[losses] lost-zones = "zone-a, zone-b": names every availability zone`},
	{"# lost-zones =", "lost-zones = zone-a", `[losses] tolerated = "zone": needs backend servers of service lookup in 2 zones`},
	{"[region my-region]", "[region]", `[region]: is not a section`},
	{"[region my-region]", "[region My]", `[region My] = "My": is not a name`},
	{"zones = zone-a, zone-b", "zones =", `[region my-region] zones: has no answer`},
	{"zones = zone-a, zone-b", "zones = zone-a, zone-a, zone-b", `[region my-region] zones = "zone-a": is listed twice`},
	{"zones = zone-a, zone-b", "zones = zone-a, zone-b, zone-c", `[hosts zone-c]: is missing`},
	{"", "[region other]\nzones = zone-a\n", `zones = "zone-a": belongs to two regions`},
	{"", "[hosts zone-c]\ncount = 2\npeer = 10.9.0.1+index:1\ncaller = 10.9.0.1+index:2\nadmin = 10.9.0.1+index:3\n", `[hosts zone-c] = "zone-c": is in no [region] section`},
	{"count = 2\n# Hosts", "count = 0\n# Hosts", `[hosts zone-a] count = "0": is out of range`},
	{"count = 2\n# Hosts", "count = two\n# Hosts", `[hosts zone-a] count = "two": is not a whole number`},
	{"count = 2\n# Hosts", "count = 99999999999999999999\n# Hosts", `[hosts zone-a] count = "99999999999999999999": is out of range`},
	{"count = 2\n# Hosts", "# Hosts", `[hosts zone-a] count: has no answer`},
	{"count = 2\nrack = rack-1, rack-2\npeer = 10.0.1.1:7000, 10.0.1.2:7000", "count = 2\npeer = 10.0.1.1:7000", `[hosts zone-b] peer = "10.0.1.1:7000": names 1 addresses for a count of 2`},
	{"# except =", "except = zone-a-h09", `[hosts zone-a] except = "zone-a-h09": is not a name of this section`},
	{"# except =", "except = zone-a-h01, zone-a-h02", `[hosts zone-a] except = "zone-a-h01, zone-a-h02": leaves nothing`},
	{"# except =", "except = zone-a-h01", `[losses] tolerated = "gateway": needs 2 hosts in each cell, and cell zone-a-c01 has 1`},
	{"# cells = 1", "cells = 3", `[hosts zone-a] cells = "3": is more than the 2 hosts`},
	{"# cells = 1", "cells = 2", `[losses] tolerated = "gateway": needs 2 hosts in each cell`},
	{"rack = rack-1, rack-2", "rack = rack-1, rack-2, rack-3", `[hosts zone-a] rack = "rack-1, rack-2, rack-3": names 3 racks for 2 hosts`},
	{"rack = rack-1, rack-2", "rack = Rack 1", `[hosts zone-a] rack = "Rack 1": is not a name`},
	{"peer = 10.0.0.1+index:7000", "peer = entry-1:7000", `[hosts zone-a] peer = "entry-1:7000": is not an address pattern`},
	{"peer = 10.0.0.1+index:7000", "peer = 10.0.0.1+index", `[hosts zone-a] peer = "10.0.0.1+index": is not an address pattern`},
	{"peer = 10.0.0.1+index:7000", "peer = 10.0.0.1+index:0", `[hosts zone-a] peer = "10.0.0.1+index:0": is not an address pattern`},
	{"peer = 10.0.0.1+index:7000", "peer = 10.0.0.1:65535+index", `[hosts zone-a] peer = "10.0.0.1:65535+index": runs past the last`},
	{"peer = 10.0.0.1+index:7000", "peer = 255.255.255.255+index:7000", `[hosts zone-a] peer = "255.255.255.255+index:7000": runs past the last`},
	{"peer = 10.0.0.1+index:7000", "peer = 0.0.0.0+index:7000", `[hosts zone-a] peer = "0.0.0.0:7000": does not name one host`},
	{"caller = 10.0.0.1+index:7001", "caller = 10.0.0.1+index:7000", `[hosts zone-a] caller = "10.0.0.1:7000": is also used by [hosts zone-a] peer`},
	{"[service lookup]", "[service]", `[service]: is not a section`},
	{"divided-by-key = yes", "divided-by-key = true", `[service lookup] divided-by-key = "true": is not one of the choices`},
	{"divided-by-key = yes", "divided-by-key = no\npartitions = 1024", `[service lookup] partitions = "1024": is answered for a service that is not divided`},
	{"# partitions = 1024", "partitions = 1000", `[service lookup] partitions = "1000": is not a power of two`},
	{"# partitions = 1024", "partitions = 131072", `[service lookup] partitions = "131072": is out of range`},
	{"GET /status/**, HEAD", "get /status/**, HEAD", `[service lookup] idempotent = "get /status/**": has no HTTP method`},
	{"GET /status/**, HEAD", "GET status, HEAD", `[service lookup] idempotent = "GET status": has no path`},
	{"GET /status/**, HEAD", "/status/**, HEAD", `[service lookup] idempotent = "/status/**": has no HTTP method`},
	{"GET /status/**, HEAD", "GET /**/status, HEAD", `[service lookup] idempotent = "GET /**/status": has ** inside the path`},
	{"GET /status/**, HEAD", "GET /status?id=1, HEAD", `[service lookup] idempotent = "GET /status?id=1": has a path with a space, query`},
	{"GET /status/**, HEAD", "GET /[a, HEAD", `[service lookup] idempotent = "GET /[a": has a pattern that cannot be read`},
	{"GET /status/**, HEAD", "GET /*/**, HEAD", `[service lookup] idempotent = "GET /*/**": has wildcards before /**`},
	{"idempotent = GET /status/**, HEAD /status/**", "", `[service lookup] idempotent: has no answer`},
	{"checks-fencing-tokens = yes", "", `[service lookup] checks-fencing-tokens: has no answer`},
	{"slots = 3", "slots = 3 requests", `[service lookup] slots = "3 requests": is not a whole number`},
	{"slots = 3", "slots = -1", `[service lookup] slots = "-1": is out of range`},
	{"slots = 3", "slots = 119", `[service lookup] connections = "120": is less than the 119 slots`},
	{"connections = 120", "connections = 70000", `[service lookup] connections = "70000": is out of range`},
	{"# max-request-millis = 400", "max-request-millis = 400ms", `[service lookup] max-request-millis = "400ms": is not a whole number`},
	{"# max-request-millis = 400", "max-request-millis = 40000", `[service lookup] max-request-millis = "40000": is out of range`},
	{"", "[service spare]\ndivided-by-key = no\nidempotent = none\nchecks-fencing-tokens = no\nslots = 1\nconnections = 9\n", `[service spare]: has no backend server`},
	{"[servers lookup zone-b]", "[servers look zone-b]", `[servers look zone-b] = "look": has no [service] section`},
	{"[servers lookup zone-b]", "[servers lookup]", `[servers lookup]: is not a section`},
	{"[servers lookup zone-b]", "[servers lookup zone-x]", `[servers lookup zone-x] = "zone-x": is in no [region] section`},
	{"address = 10.0.3.1+index:8000", "address = 10.0.2.1+index:8000", `[servers lookup zone-b] address = "10.0.2.1:8000": is also used by [servers lookup zone-a] address`},
	{"# weight = 1", "weight = 0", `[servers lookup zone-a] weight = "0": is not a weight`},
	{"# weight = 1", "weight = NaN", `[servers lookup zone-a] weight = "NaN": is not a weight`},
	{"# weight = 1", "weight = 1, 2, 3", `[servers lookup zone-a] weight = "1, 2, 3": names 3 weights`},
}
