// Package backend implements the client side of the protocol between a backend server and its home, the gateway
// that dispatches all requests to the server. Requests are written at most once.
package backend

import (
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// RequestID identifies a request throughout the system.
type RequestID [16]byte

// String returns the id in hexadecimal, the format of HeaderRequestID.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// Request is a client's request to be sent to a backend server.
type Request struct {
	ID         RequestID
	Service    string
	Key        string
	Subscriber string
	Method     string
	// Path is the path and query of the URL at the backend server.
	Path   string
	Header http.Header
	// Body may be read until Do has returned and the body of the response, if any, has been read or closed.
	Body io.Reader
	// ContentLength is the length of Body, or -1 if it is unknown.
	ContentLength int64
	// Deadline is the client's deadline in wall-clock time.
	Deadline   time.Time
	Idempotent bool
	// FirstAttempt is true if the client declares that the request is not a retry.
	FirstAttempt bool
	// Identity is the request identity (idempotency key) chosen by the client, or "".
	Identity string
	// Keyed is true if the service is sharded. Scope and Token apply only in that case.
	Keyed bool
	// Scope is the partition or hot key whose grant covers the request.
	Scope Scope
	// Token is the fencing token under which the request is dispatched.
	Token fence.Token
}

// Response is the response of a backend server. The caller must close Body. A read error other than io.EOF means
// that the body is truncated.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the length of Body, or -1 if it is unknown.
	ContentLength int64
}
