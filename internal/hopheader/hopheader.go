// Package hopheader removes hop-by-hop headers (RFC 9110, 7.6.1).
package hopheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

const connection = "Connection"

// hopByHop holds the canonical names of hop-by-hop headers.
var hopByHop = map[string]bool{
	connection:            true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Remove removes the hop-by-hop headers and those that the Connection header lists.
func Remove(header http.Header) {
	for _, line := range header[connection] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for name := range header {
		if hopByHop[http.CanonicalHeaderKey(name)] {
			delete(header, name)
		}
	}
}
