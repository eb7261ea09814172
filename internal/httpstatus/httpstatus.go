// Package httpstatus tells which status codes a response may have.
package httpstatus

import "net/http"

const (
	firstInterim = 100
	firstFinal   = 200
	lastFinal    = 599
)

// IsFinal reports whether a response with this status ends an exchange.
func IsFinal(status int) bool { return status >= firstFinal && status <= lastFinal }

// IsInterim reports whether a further response follows one with this status. A server that switches protocols sends none.
func IsInterim(status int) bool {
	return status >= firstInterim && status < firstFinal && status != http.StatusSwitchingProtocols
}
