// Package exchange holds what a request and its answer say about themselves, apart from the names of headers.
package exchange

import (
	"net/http"
	"time"
)

// Headers reads and sets the headers that steer a request. An implementation knows their names.
type Headers interface {
	// Call reads what a caller says about a request.
	Call(header http.Header) Call
	// Forward sets the time that is left and the backend server that is meant.
	Forward(header http.Header, left time.Duration, instance string)
	// Reply reads what a backend server says about its answer.
	Reply(status int, header http.Header) Reply
}

// Call is what a caller says about a request.
type Call struct {
	// ID names this attempt of the caller. It may be empty.
	ID string
	// Patience is how long the caller waits, if HasPatience.
	Patience    time.Duration
	HasPatience bool
	// Key is the key that the request is about, if HasKey.
	Key    int
	HasKey bool
}

// Reply is what a backend server says about its answer.
type Reply struct {
	// ID names the request that the answer belongs to. It may be empty.
	ID string
	// Signed is true if the backend server marked the answer as its own.
	Signed bool
	// NotRun is true if the backend server did not run the request and never will.
	NotRun bool
	// Instance is the backend server that answered, if it says so.
	Instance string
	// Load is the load of the backend server, if HasLoad.
	Load    Load
	HasLoad bool
}

// Load is the number of requests at a backend server.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
