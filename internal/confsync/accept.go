package confsync

import "github.com/cockroachdb/errors"

// Errors of NewAccept.
var (
	ErrRevisionOrder = errors.New("new revision does not exceed the one that the operator saw; generate the configuration again")
	ErrOutdated      = errors.New("a greater revision is known; read it and decide again")
)

// AcceptOutcome is the state of an accept.
type AcceptOutcome string

// Outcomes.
const (
	// AcceptPending means that Request must be sent.
	AcceptPending AcceptOutcome = ""
	// AcceptDone means that the store has the document.
	AcceptDone AcceptOutcome = "accepted"
	// AcceptConflict means that another document was accepted first and this one was not.
	AcceptConflict AcceptOutcome = "conflict"
	// AcceptOvertaken means that a write was not answered and the store now has a greater revision. The document
	// may have been in force between.
	AcceptOvertaken AcceptOutcome = "overtaken"
	// AcceptUnanswered means that the store did not answer and no write was sent: not accepted.
	AcceptUnanswered AcceptOutcome = "store did not answer"
	// AcceptUnknown means that a write was not answered: the document may be accepted now or later.
	AcceptUnknown AcceptOutcome = "unknown"
)

// Accept writes one document to the store by compare-and-swap. It is pure: the caller executes Request and passes the
// result to Result, until Outcome is not AcceptPending, or calls GiveUp at its deadline.
type Accept struct {
	seen     Version
	document Document
	request  StoreRequest
	// unanswered is true once a write had no answer.
	unanswered bool
	outcome    AcceptOutcome
}

// NewAccept prepares the accept of document by an operator who saw the version seen, on a gateway that holds held.
func NewAccept(seen, held Version, document Document) (*Accept, error) {
	if document.Revision <= seen.Revision {
		return nil, errors.Wrapf(ErrRevisionOrder, "revision %d after %d", document.Revision, seen.Revision)
	}
	if held.Revision > seen.Revision || held.conflicts(seen) {
		return nil, errors.Wrapf(ErrOutdated, "revision %d, the operator saw %d", held.Revision, seen.Revision)
	}
	return &Accept{seen: seen, document: document, request: StoreRequest{Seq: 1, Kind: StoreRead}}, nil
}

// Outcome returns the present state.
func (a *Accept) Outcome() AcceptOutcome { return a.outcome }

// Request returns the request to send now.
func (a *Accept) Request() StoreRequest { return a.request }

// Result takes the result of Request.
func (a *Accept) Result(result StoreResult) {
	if a.outcome != AcceptPending || result.Seq != a.request.Seq {
		return
	}
	if a.request.Kind == StoreWrite {
		a.written(result)
		return
	}
	a.read(result)
}

// GiveUp ends a pending accept.
func (a *Accept) GiveUp() {
	if a.outcome != AcceptPending {
		return
	}
	a.outcome = AcceptUnanswered
	if a.unanswered || a.request.Kind == StoreWrite {
		a.outcome = AcceptUnknown
	}
}

func (a *Accept) written(result StoreResult) {
	switch result.Err {
	case StoreOK:
		a.outcome = AcceptDone
		return
	case StoreUnavailable:
		a.unanswered = true
	}
	// The id in the store tells what became of the write.
	a.next(StoreRequest{Kind: StoreRead})
}

func (a *Accept) read(result StoreResult) {
	switch result.Err {
	case StoreOK:
		a.decide(result.Version, result.Document.Version)
	case StoreNotFound:
		a.decide(0, Version{})
	default:
		a.next(StoreRequest{Kind: StoreRead})
	}
}

// decide compares what is in the store with what the operator saw. A smaller revision is one that was restored, or a
// stale read, for which the write fails.
func (a *Accept) decide(version uint64, stored Version) {
	switch {
	case stored == a.document.Version:
		a.outcome = AcceptDone
	case a.unanswered && stored.Revision > a.document.Revision:
		a.outcome = AcceptOvertaken
	case stored.Revision > a.seen.Revision || stored.conflicts(a.seen):
		a.outcome = AcceptConflict
	default:
		a.next(StoreRequest{Kind: StoreWrite, Version: version, Document: a.document})
	}
}

func (a *Accept) next(request StoreRequest) {
	request.Seq = a.request.Seq + 1
	a.request = request
}
