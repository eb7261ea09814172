package confsync

// StoreKind is a kind of request to the store.
type StoreKind string

// Kinds of requests.
const (
	StoreRead StoreKind = "read"
	// StoreWatch waits for a version greater than StoreRequest.Version.
	StoreWatch StoreKind = "watch"
	// StoreWrite is a compare-and-swap from StoreRequest.Version.
	StoreWrite StoreKind = "write"
	// StoreStop ends the watch with the same Seq. It has no result.
	StoreStop StoreKind = "stop"
)

// StoreRequest is a request to the store. The caller gives each one, except StoreStop, exactly one StoreResult, after
// a deadline of its choice (watches: none) if the store does not answer.
type StoreRequest struct {
	// Seq pairs the request with its result.
	Seq      uint64
	Kind     StoreKind
	Version  uint64
	Document Document
}

// StoreError says how a request failed.
type StoreError string

// Failures. A value that cannot be decoded counts as StoreUnavailable.
const (
	StoreOK          StoreError = ""
	StoreNotFound    StoreError = "not found"
	StoreConflict    StoreError = "conflict"
	StoreUnavailable StoreError = "unavailable"
)

// StoreResult is the result of a request.
type StoreResult struct {
	Seq uint64
	Err StoreError
	// Version is the version of the key in the store. For StoreNotFound it is 0.
	Version uint64
	// Document is the value of a read or watch.
	Document Document
}
