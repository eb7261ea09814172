package confsync

import "github.com/cockroachdb/errors"

// Errors of NewAccept.
var (
	ErrRevisionOrder = errors.New("new revision is not greater than the revision that the change is based on; generate the configuration again")
	ErrOutdated      = errors.New("a newer revision exists; read it and review the change against it")
)

// AcceptOutcome is the state of an accept operation.
type AcceptOutcome string

// Outcomes.
const (
	// AcceptPending means that Request has to be sent to the store.
	AcceptPending AcceptOutcome = ""
	// AcceptDone means that the store holds the document.
	AcceptDone AcceptOutcome = "accepted"
	// AcceptConflict means that another document was accepted first and this one was rejected.
	AcceptConflict AcceptOutcome = "conflict"
	// AcceptOvertaken means that a write got no response and the store now holds a greater revision. The document
	// may have been in force in the meantime.
	AcceptOvertaken AcceptOutcome = "overtaken"
	// AcceptUnanswered means that the store did not respond, but no write can have taken effect: the document is not
	// accepted.
	AcceptUnanswered AcceptOutcome = "store did not answer"
	// AcceptUnknown means that a write got no response: the document may be accepted now or later.
	AcceptUnknown AcceptOutcome = "unknown"
)

// Accept writes one document to the store by compare-and-swap. It performs no I/O: the caller executes Request and
// passes the result to HandleResult until Outcome is no longer AcceptPending, or calls GiveUp at its deadline.
type Accept struct {
	baseVersion Version
	document    Document
	request     StoreRequest
	// writeUnanswered is true once a write got no response.
	writeUnanswered bool
	outcome         AcceptOutcome
}

// NewAccept prepares to accept document, which is based on baseVersion, on a gateway that holds the version held.
func NewAccept(baseVersion, held Version, document Document) (*Accept, error) {
	if document.Revision <= baseVersion.Revision {
		return nil, errors.Wrapf(ErrRevisionOrder, "revision %d after %d", document.Revision, baseVersion.Revision)
	}
	if held.Revision > baseVersion.Revision || held.conflictsWith(baseVersion) {
		return nil, errors.Wrapf(ErrOutdated, "revision %d, the change is based on %d", held.Revision, baseVersion.Revision)
	}
	return &Accept{baseVersion: baseVersion, document: document, request: StoreRequest{Seq: 1, Kind: StoreRead}}, nil
}

// Outcome returns the current state.
func (a *Accept) Outcome() AcceptOutcome { return a.outcome }

// Request returns the request to send now.
func (a *Accept) Request() StoreRequest { return a.request }

// HandleResult processes the result of Request.
func (a *Accept) HandleResult(result StoreResult) {
	if a.outcome != AcceptPending || result.Seq != a.request.Seq {
		return
	}
	if a.request.Kind == StoreWrite {
		a.handleWriteResult(result)
		return
	}
	a.handleReadResult(result)
}

// GiveUp ends a pending accept operation at the deadline of the caller.
func (a *Accept) GiveUp() {
	if a.outcome != AcceptPending {
		return
	}
	a.outcome = AcceptUnanswered
	if a.writeUnanswered || a.request.Kind == StoreWrite {
		a.outcome = AcceptUnknown
	}
}

func (a *Accept) handleWriteResult(result StoreResult) {
	switch result.Err {
	case StoreOK:
		a.outcome = AcceptDone
		return
	case StoreUnavailable:
		a.writeUnanswered = true
	}
	// The ID of the stored document shows whether the write took effect.
	a.setRequest(StoreRequest{Kind: StoreRead})
}

func (a *Accept) handleReadResult(result StoreResult) {
	switch result.Err {
	case StoreOK:
		a.compareStored(result.Version, result.Document.Version)
	case StoreNotFound:
		a.compareStored(0, Version{})
	default:
		a.setRequest(StoreRequest{Kind: StoreRead})
	}
}

// compareStored chooses the next step by comparing the stored version with the version that the change is based on. A
// smaller stored revision comes from a restored backup or from a stale read; after a stale read the write fails.
func (a *Accept) compareStored(version uint64, stored Version) {
	switch {
	case stored == a.document.Version:
		a.outcome = AcceptDone
	case a.writeUnanswered && stored.Revision > a.document.Revision:
		a.outcome = AcceptOvertaken
	case stored.Revision > a.baseVersion.Revision || stored.conflictsWith(a.baseVersion):
		a.outcome = AcceptConflict
	default:
		a.setRequest(StoreRequest{Kind: StoreWrite, Version: version, Document: a.document})
	}
}

func (a *Accept) setRequest(request StoreRequest) {
	request.Seq = a.request.Seq + 1
	a.request = request
}
