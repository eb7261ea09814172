// Package hopheader removes the headers that concern one connection, not the message (RFC 9110, 7.6.1).
package hopheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

const connection = "Connection"

// names are the canonical names of such headers.
var names = map[string]bool{
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

// Remove removes the headers that must not pass from one connection to the next, and those that Connection names.
func Remove(header http.Header) {
	for _, line := range header[connection] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for name := range header {
		if names[http.CanonicalHeaderKey(name)] {
			delete(header, name)
		}
	}
}
