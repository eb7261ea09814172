// Package exchange defines the metadata of requests and responses independently of the header names that carry it.
package exchange

import (
	"net/http"
	"time"
)

// Headers reads and sets the control headers of requests and responses. An implementation defines their names.
type Headers interface {
	// ParseRequest parses the metadata that a client sent with a request.
	ParseRequest(header http.Header) RequestMetadata
	// SetForwarded sets the remaining time and the ID of the backend server that the request is addressed to.
	SetForwarded(header http.Header, left time.Duration, instance string)
	// ParseResponse parses the metadata that a backend server sent with a response.
	ParseResponse(status int, header http.Header) ResponseMetadata
}

// RequestMetadata is the metadata that a client sent with a request.
type RequestMetadata struct {
	// ID identifies this attempt of the client. It may be empty.
	ID string
	// Timeout is the client's timeout, if it sent one.
	Timeout    time.Duration
	HasTimeout bool
	// Key is the shard key of the request, if it has one.
	Key    int
	HasKey bool
}

// ResponseMetadata is the metadata that a backend server sent with a response.
type ResponseMetadata struct {
	// ID identifies the request that the response belongs to. It may be empty.
	ID string
	// Signed reports whether the response carries the backend server's own mark.
	Signed bool
	// NotExecuted reports whether the backend server states that it did not execute the request and never will.
	NotExecuted bool
	// Instance is the ID of the backend server that sent the response. It is empty if the response does not name one.
	Instance string
	// Load is the load that the backend server reported, if it did.
	Load    Load
	HasLoad bool
}

// Load holds the numbers of running and queued requests of a backend server, and of its slots.
type Load struct {
	Running int
	Queued  int
	Slots   int
}
