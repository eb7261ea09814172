package outcome

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of problem documents (RFC 9457).
const ContentType = "application/problem+json"

// Header carries the outcome of a request on each answer that the system makes itself.
const Header = "Plank-Outcome"

// Kind identifies a class of refusal. It is the last path segment of the problem type.
type Kind string

// Kinds of refusals.
const (
	KindBadRequest       Kind = "bad-request"
	KindNoSuchService    Kind = "no-such-service"
	KindMissingHeader    Kind = "missing-header"
	KindTooLarge         Kind = "too-large"
	KindBodyTimeout      Kind = "body-timeout"
	KindQueueFull        Kind = "queue-full"
	KindDeadline         Kind = "deadline-cannot-be-met"
	KindNoOwner          Kind = "no-owner"
	KindNoHome           Kind = "no-home"
	KindNotHome          Kind = "not-home"
	KindNoServer         Kind = "no-backend-server"
	KindNoConfig         Kind = "no-configuration"
	KindShed             Kind = "backend-shed-load"
	KindStaleGrant       Kind = "stale-grant"
	KindDraining         Kind = "draining"
	KindHopLimit         Kind = "hop-limit"
	KindConnect          Kind = "connect-failed"
	KindConnectionLost   Kind = "connection-lost"
	KindTimeout          Kind = "timeout"
	KindCanceled         Kind = "canceled"
	KindBadResponse      Kind = "bad-answer"
	KindRepeated         Kind = "repeated-request"
	KindIdentityTooOld   Kind = "request-identity-too-old"
	KindInternal         Kind = "internal"
	problemTypePrefix         = "urn:sapphireplank:problem:"
	maxRetryAfterSeconds      = 3600
	minRetryAfterSeconds      = 1
)

// Problem is a refusal by the system itself, as RFC 9457 describes it.
type Problem struct {
	Kind    Kind
	Status  int
	Outcome Outcome
	// Detail says what happened and what the caller can do.
	Detail string
	// RetryAfter is the time after which a repeat can succeed. Zero means that no time is known.
	RetryAfter time.Duration
}

// Error returns the detail, so that a Problem can be returned as an error.
func (p *Problem) Error() string { return string(p.Kind) + ": " + p.Detail }

// New returns a problem with the given kind, HTTP status, outcome and detail.
func New(kind Kind, status int, o Outcome, detail string) *Problem {
	return &Problem{Kind: kind, Status: status, Outcome: o, Detail: detail}
}

type document struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// Write sends the problem document to w.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(Header, p.Outcome.String())
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(p.RetryAfter)))
	}
	w.WriteHeader(p.Status)
	// The status line is already sent; a failed write only means that the caller has left.
	_ = json.NewEncoder(w).Encode(document{
		Type:    problemTypePrefix + string(p.Kind),
		Title:   http.StatusText(p.Status),
		Status:  p.Status,
		Detail:  p.Detail,
		Outcome: p.Outcome.String(),
	})
}

func retryAfterSeconds(d time.Duration) int {
	seconds := int(math.Ceil(d.Seconds()))
	return min(max(seconds, minRetryAfterSeconds), maxRetryAfterSeconds)
}
