// Package backend is the client of one backend server.
package backend

import (
	"io"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// RequestID identifies one request within the system.
type RequestID [16]byte

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
	Body   io.Reader
	// ContentLength is -1 if the length is not known ahead.
	ContentLength int64
	// Deadline is the caller's deadline in wall clock time.
	Deadline   time.Time
	Idempotent bool
	// Identity is the request identity that the caller chose, or "".
	Identity string
	// Token is the fencing token under which the request is dispatched.
	Token fence.Token
}

// Response is the answer of a backend server. The caller closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is -1 if the length is not known ahead.
	ContentLength int64
}
