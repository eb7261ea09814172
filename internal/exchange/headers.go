// Package exchange holds what a request and its answer say about themselves, apart from the names of headers.
package exchange

import (
	"net/http"
	"time"
)

// Headers reads and sets the headers that steer a request. An implementation knows their names.
type Headers interface {
	// ParseRequest reads what a caller says about a request.
	ParseRequest(header http.Header) RequestMetadata
	// SetForwarded sets the time that is left and the backend server that is meant.
	SetForwarded(header http.Header, left time.Duration, instance string)
	// ParseResponse reads what a backend server says about its answer.
	ParseResponse(status int, header http.Header) ResponseMetadata
}

// RequestMetadata is what a caller says about a request.
type RequestMetadata struct {
	// ID names this attempt of the caller. It may be empty.
	ID string
	// Timeout is how long the caller waits, if HasPatience.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the key that the request is about, if HasKey.
	Key    int
	HasKey bool
}

// ResponseMetadata is what a backend server says about its answer.
type ResponseMetadata struct {
	// ID names the request that the answer belongs to. It may be empty.
	ID string
	// Signed is true if the backend server marked the answer as its own.
	Signed bool
	// NotExecuted is true if the backend server did not run the request and never will.
	NotExecuted bool
	// Instance is the backend server that answered, if it says so.
	Instance string
	// Load is the load of the backend server, if HasLoad.
	Load    Load
	HasLoad bool
}

// Load is the number of requests at a backend server.
type Load struct {
	Running int
	Queued  int
	Slots   int
}
