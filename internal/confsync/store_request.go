package confsync

// StoreKind is a kind of request to the store.
type StoreKind string

// Kinds of store requests.
const (
	StoreRead StoreKind = "read"
	// StoreWatch waits for a version greater than StoreRequest.Version.
	StoreWatch StoreKind = "watch"
	// StoreWrite is a compare-and-swap from StoreRequest.Version.
	StoreWrite StoreKind = "write"
	// StoreCancelWatch cancels the watch with the same Seq. It has no result.
	StoreCancelWatch StoreKind = "stop"
)

// StoreRequest is a request to the store. For each request except StoreCancelWatch, the caller must report exactly one
// StoreResult. If the store does not respond, it reports StoreUnavailable after a timeout of its choice; watches have
// no timeout.
type StoreRequest struct {
	// Seq matches the request with its result.
	Seq      uint64
	Kind     StoreKind
	Version  uint64
	Document Document
}

// StoreError is the reason for which a request failed.
type StoreError string

// Store errors. A value that cannot be decoded is reported as StoreUnavailable.
const (
	StoreOK          StoreError = ""
	StoreNotFound    StoreError = "not found"
	StoreConflict    StoreError = "conflict"
	StoreUnavailable StoreError = "unavailable"
)

// StoreResult is the result of a StoreRequest.
type StoreResult struct {
	Seq uint64
	Err StoreError
	// Version is the version of the key in the store. It is 0 for StoreNotFound.
	Version uint64
	// Document is the value that a read or watch returned.
	Document Document
}
