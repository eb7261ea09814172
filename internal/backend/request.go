// Package backend is the client of one backend server.
package backend

import (
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// RequestID identifies one request within the system.
type RequestID [16]byte

// String returns the id in hexadecimal, as HeaderRequestID carries it.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// Request is one request of a caller on its way to a backend server.
type Request struct {
	ID         RequestID
	Service    string
	Key        string
	Subscriber string
	Method     string
	// Path is the path and query at the backend server.
	Path   string
	Header http.Header
	// Body is read until Do has returned and the body of the response was read or closed.
	Body io.Reader
	// ContentLength is -1 if the length is not known ahead.
	ContentLength int64
	// Deadline is the caller's deadline in wall clock time.
	Deadline   time.Time
	Idempotent bool
	// FirstAttempt is true if the caller states that it sends the request for the first time.
	FirstAttempt bool
	// Identity is the request identity that the caller chose, or "".
	Identity string
	// Keyed is true if the service is divided by key. Only then Scope and Token apply.
	Keyed bool
	// Scope is the partition or hot key under whose grant the request is dispatched.
	Scope Scope
	// Token is the fencing token under which the request is dispatched.
	Token fence.Token
}

// Response is the answer of a backend server. The caller closes Body. A read error other than io.EOF means
// that the answer was cut.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is -1 if the length is not known ahead.
	ContentLength int64
}
