package admin

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// Problem kinds of the administration API, in addition to those of package outcome.
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

	// storeRetryAfter is the Retry-After of responses while the store is down or behind.
	storeRetryAfter = 5 * time.Second
	// undecidedRetryAfter is the Retry-After of the response to an undecided accept.
	undecidedRetryAfter = time.Second
	// authenticateChallenge is the WWW-Authenticate header of responses to requests without a valid token.
	authenticateChallenge = `Bearer realm="administration"`
)

// problemMapping defines the problem that is reported for an error.
type problemMapping struct {
	target     error
	kind       outcome.Kind
	status     int
	outcome    outcome.Outcome
	retryAfter time.Duration
}

// problemMappings lists the errors of the sources; the first match applies. accept.ErrUndecided is first because an
// undecided accept can also match another entry.
var problemMappings = []problemMapping{
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

// problemFor converts an error of a handler to a problem.
func problemFor(err error) *outcome.Problem {
	var problem *outcome.Problem
	if errors.As(err, &problem) {
		return problem
	}
	for _, mapping := range problemMappings {
		if errors.Is(err, mapping.target) {
			problem := outcome.New(mapping.kind, mapping.status, mapping.outcome, err.Error())
			problem.RetryAfter = mapping.retryAfter
			return problem
		}
	}
	return outcome.New(outcome.KindInternal, http.StatusInternalServerError, outcome.Unknown,
		"the gateway could not answer; its log says why")
}
