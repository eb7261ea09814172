package admin

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Kinds of problems of the administration API, besides those of package outcome.
const (
	KindUnauthorized         outcome.Kind = "unauthorized"
	KindForbidden            outcome.Kind = "forbidden"
	KindNotFound             outcome.Kind = "not-found"
	KindMethodNotAllowed     outcome.Kind = "method-not-allowed"
	KindNotProvided          outcome.Kind = "not-provided"
	KindRevisionRequired     outcome.Kind = "revision-required"
	KindConflict             outcome.Kind = "revision-conflict"
	KindIDReused             outcome.Kind = "id-reused"
	KindInvalidConfiguration outcome.Kind = "invalid-configuration"
	KindUnsafeRevision       outcome.Kind = "unsafe-revision"
	KindStoreDown            outcome.Kind = "store-down"
	KindAcceptUndecided      outcome.Kind = "accept-undecided"
	KindStoreBehind          outcome.Kind = "store-behind"
	storeRetryAfter                       = 5 * time.Second
	undecidedRetryAfter                   = time.Second
	authenticateResponse                  = `Bearer realm="administration"`
)

// problemClass maps an error to a problem.
type problemClass struct {
	is         error
	kind       outcome.Kind
	status     int
	outcome    outcome.Outcome
	retryAfter time.Duration
}

// problemClasses holds the errors of the sources. An undecided accept can also match another class, so it is first.
var problemClasses = []problemClass{
	{accept.ErrUndecided, KindAcceptUndecided, http.StatusServiceUnavailable, outcome.Unknown, undecidedRetryAfter},
	{accept.ErrStoreUnavailable, KindStoreDown, http.StatusServiceUnavailable, outcome.NotExecuted, storeRetryAfter},
	{accept.ErrStoreBehind, KindStoreBehind, http.StatusServiceUnavailable, outcome.NotExecuted, storeRetryAfter},
	{accept.ErrConflict, KindConflict, http.StatusPreconditionFailed, outcome.NotExecuted, 0},
	{accept.ErrIDReused, KindIDReused, http.StatusConflict, outcome.NotExecuted, 0},
	{accept.ErrNoID, outcome.KindMissingHeader, http.StatusBadRequest, outcome.NotExecuted, 0},
	{accept.ErrNoConfig, KindNotFound, http.StatusNotFound, outcome.NotExecuted, 0},
	{accept.ErrStopNotFound, KindNotFound, http.StatusNotFound, outcome.NotExecuted, 0},
	{accept.ErrTargetNotFound, KindNotFound, http.StatusNotFound, outcome.NotExecuted, 0},
	{ErrNotFound, KindNotFound, http.StatusNotFound, outcome.NotExecuted, 0},
	{config.ErrInvalid, KindInvalidConfiguration, http.StatusUnprocessableEntity, outcome.NotExecuted, 0},
	{config.ErrUnsafe, KindUnsafeRevision, http.StatusUnprocessableEntity, outcome.NotExecuted, 0},
	{config.ErrSyntax, outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted, 0},
	{config.ErrTooLarge, outcome.KindTooLarge, http.StatusRequestEntityTooLarge, outcome.NotExecuted, 0},
}

// problemOf returns the problem for an error of a source.
func problemOf(err error) *outcome.Problem {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem
	}
	for _, class := range problemClasses {
		if errors.Is(err, class.is) {
			problem := outcome.New(class.kind, class.status, class.outcome, err.Error())
			problem.RetryAfter = class.retryAfter
			return problem
		}
	}
	return outcome.New(outcome.KindInternal, http.StatusInternalServerError, outcome.Unknown,
		"the gateway could not answer; its log says why")
}
