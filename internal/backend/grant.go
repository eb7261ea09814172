package backend

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// Paths of the control calls at a backend server.
const (
	PathRenew    = "/plank/grants/renew"
	PathWithdraw = "/plank/grants/withdraw"
	PathHealth   = "/plank/health"
)

// RefusedUnknownSet is the refusal of a renewal that names a set of grants that the server does not have.
const RefusedUnknownSet Refusal = "unknown-set"

// RefusedOutdated is the refusal of a control call that a later one of the same home has overtaken.
const RefusedOutdated Refusal = "outdated"

// Grant permits a backend server to execute requests of one scope.
type Grant struct {
	Scope Scope
	Token fence.Token
}

// GrantSet is every grant of one home on one backend server. Number changes whenever Grants changes.
type GrantSet struct {
	Number uint64
	Grants []Grant
}

// RenewResult is the answer to a renewal.
type RenewResult struct {
	Health Health
	// Stale holds the scopes for which the server knows a greater token. They are not granted.
	Stale []Scope
}

// grantEntry is the form of a Grant on the wire.
type grantEntry struct {
	Scope string `json:"scope"`
	Token string `json:"token"`
}

// RenewRequest is the body of a renewal.
type RenewRequest struct {
	// Home identifies the dispatcher that sends the call.
	Home string `json:"home"`
	// Sequence grows with each control call of the home, so that a delayed one has no effect.
	Sequence uint64 `json:"call"`
	// ExpiresUnixNano is the end of all grants of the set, in nanoseconds since the Unix epoch, UTC.
	ExpiresUnixNano int64 `json:"expires_unix_nano"`
	// Set is the number of the set.
	Set uint64 `json:"set"`
	// Full is true if Grants replaces the set of the home. Otherwise only the expiry is renewed.
	Full   bool         `json:"full"`
	Grants []grantEntry `json:"grants,omitempty"`
}

// RenewResponse is the body of the answer to a renewal.
type RenewResponse struct {
	Health Health   `json:"health"`
	Stale  []string `json:"stale,omitempty"`
}

// WithdrawRequest is the body of a withdrawal.
type WithdrawRequest struct {
	Home     string   `json:"home"`
	Sequence uint64   `json:"call"`
	Scopes   []string `json:"scopes"`
}

// Expires returns the end of the grants.
func (c *RenewRequest) Expires() time.Time { return time.Unix(0, c.ExpiresUnixNano) }

// DecodeGrants returns the grants of the call, or an error that names the malformed entry.
func (c *RenewRequest) DecodeGrants() ([]Grant, error) {
	grants := make([]Grant, 0, len(c.Grants))
	for _, entry := range c.Grants {
		scope, err := ParseScope(entry.Scope)
		if err != nil {
			return nil, err
		}
		token, err := fence.Parse(entry.Token)
		if err != nil {
			return nil, err
		}
		grants = append(grants, Grant{Scope: scope, Token: token})
	}
	return grants, nil
}

func encodeGrants(grants []Grant) []grantEntry {
	entries := make([]grantEntry, 0, len(grants))
	for _, grant := range grants {
		entries = append(entries, grantEntry{Scope: grant.Scope.String(), Token: grant.Token.String()})
	}
	return entries
}
