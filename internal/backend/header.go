package backend

import (
	"net/http"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/hopheader"
)

// Headers between a home and a backend server. docs/backend-servers.md specifies them.
const (
	// HeaderToken carries the fencing token of the request.
	HeaderToken = "Fencing-Token"
	// HeaderDeadline carries the absolute deadline in nanoseconds since the Unix epoch, UTC.
	HeaderDeadline = "Request-Deadline"
	// HeaderRequestID carries the request id in hexadecimal; the answer repeats it.
	HeaderRequestID = "Plank-Request-Id"
	// HeaderScope carries the partition or hot key under whose grant the request runs.
	HeaderScope = "Plank-Scope"
	// HeaderKey carries the key of the request.
	HeaderKey = "Plank-Key"
	// HeaderSubscriber carries the subscriber of the request.
	HeaderSubscriber = "Plank-Subscriber"
	// HeaderRefused carries the reason of a refusal before execution.
	HeaderRefused = "Plank-Refused"
)

const (
	headerIdempotencyKey  = "Idempotency-Key"
	headerXIdempotencyKey = "X-Idempotency-Key"
	headerUserAgent       = "User-Agent"
)

// ownHeaders holds the request headers that only the system sets. Values of a caller are dropped.
var ownHeaders = map[string]bool{
	HeaderToken:      true,
	HeaderDeadline:   true,
	HeaderRequestID:  true,
	HeaderScope:      true,
	HeaderKey:        true,
	HeaderSubscriber: true,
	HeaderRefused:    true,
	"Expect":         true,
	"Host":           true,
	"Content-Length": true,
}

// requestHeader returns a copy of the caller's headers that may be sent to a backend server.
func requestHeader(caller http.Header, hide bool) http.Header {
	out := make(http.Header, len(caller)+len(ownHeaders))
	for name, values := range caller {
		canonical := http.CanonicalHeaderKey(name)
		if ownHeaders[canonical] {
			continue
		}
		out[canonical] = values
	}
	hopheader.Remove(out)
	if _, ok := out[headerUserAgent]; !ok {
		out[headerUserAgent] = nil // net/http would add its own
	}
	if hide {
		hideFromReplayCheck(out, headerIdempotencyKey)
		hideFromReplayCheck(out, headerXIdempotencyKey)
	}
	return out
}

// hideFromReplayCheck renames a header to lower case. net/http replays a request whose header map has the
// canonical name, and does not look for other spellings. On the wire, names are case-insensitive.
func hideFromReplayCheck(h http.Header, name string) {
	values, ok := h[name]
	if !ok {
		return
	}
	delete(h, name)
	h[strings.ToLower(name)] = values
}
