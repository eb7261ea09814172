package backend

import (
	"net/http"
	"strings"

	"github.com/sapphireplank/sapphireplank/internal/hopheader"
)

// Headers exchanged between a home and a backend server, as specified in docs/backend-servers.md.
const (
	// HeaderToken carries the fencing token of the request.
	HeaderToken = "Fencing-Token"
	// HeaderDeadline carries the absolute deadline in nanoseconds since the Unix epoch, UTC.
	HeaderDeadline = "Request-Deadline"
	// HeaderRequestID carries the request id in hexadecimal. The response repeats it.
	HeaderRequestID = "Plank-Request-Id"
	// HeaderScope carries the partition or hot key whose grant covers the request.
	HeaderScope = "Plank-Scope"
	// HeaderKey carries the key of the request.
	HeaderKey = "Plank-Key"
	// HeaderSubscriber carries the subscriber of the request.
	HeaderSubscriber = "Plank-Subscriber"
	// HeaderRefused carries the reason for which the request was refused before execution.
	HeaderRefused = "Plank-Refused"
)

const (
	headerIdempotencyKey  = "Idempotency-Key"
	headerXIdempotencyKey = "X-Idempotency-Key"
	headerUserAgent       = "User-Agent"
)

// reservedHeaders holds the request headers that Client sets itself or never sends. Values from clients are
// dropped.
var reservedHeaders = map[string]bool{
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

// forwardedHeader returns the client's headers that are forwarded to a backend server.
func forwardedHeader(client http.Header, hideIdempotencyKeys bool) http.Header {
	out := make(http.Header, len(client)+len(reservedHeaders))
	for name, values := range client {
		canonical := http.CanonicalHeaderKey(name)
		if reservedHeaders[canonical] {
			continue
		}
		out[canonical] = values
	}
	hopheader.Remove(out)
	if _, ok := out[headerUserAgent]; !ok {
		out[headerUserAgent] = nil // otherwise net/http adds its own
	}
	if hideIdempotencyKeys {
		lowerCaseHeader(out, headerIdempotencyKey)
		lowerCaseHeader(out, headerXIdempotencyKey)
	}
	return out
}

// lowerCaseHeader changes the name of a header to lower case. net/http automatically retries requests with an
// idempotency key, but recognizes only the canonical spelling in the header map. Header names are
// case-insensitive for the server.
func lowerCaseHeader(h http.Header, name string) {
	values, ok := h[name]
	if !ok {
		return
	}
	delete(h, name)
	h[strings.ToLower(name)] = values
}
