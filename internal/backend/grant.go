package backend

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// Paths of the control endpoints of a backend server.
const (
	PathRenew    = "/plank/grants/renew"
	PathWithdraw = "/plank/grants/withdraw"
	PathHealth   = "/plank/health"
)

// RefusedUnknownSet is the reason for refusing a renewal of a grant set that the server does not hold.
const RefusedUnknownSet Refusal = "unknown-set"

// RefusedOutdated is the reason for refusing a control call that arrives after a later one of the same home.
const RefusedOutdated Refusal = "outdated"

// Grant permits a backend server to execute requests for one scope under a fencing token.
type Grant struct {
	Scope Scope
	Token fence.Token
}

// GrantSet holds all grants of one home at one backend server. Number identifies the content: it changes
// whenever Grants changes.
type GrantSet struct {
	Number uint64
	Grants []Grant
}

// RenewResult is the result of a renewal.
type RenewResult struct {
	Health Health
	// Stale lists the scopes that were not granted because the server has seen a greater token.
	Stale []Scope
}

// grantEntry is the JSON representation of a Grant.
type grantEntry struct {
	Scope string `json:"scope"`
	Token string `json:"token"`
}

// RenewRequest is the JSON body of a renewal.
type RenewRequest struct {
	// Home identifies the GrantClient that makes the call.
	Home string `json:"home"`
	// Sequence increases with each control call of the home, so that the server can reject delayed calls.
	Sequence uint64 `json:"call"`
	// ExpiresUnixNano is the expiry time of all grants of the set in nanoseconds since the Unix epoch, UTC.
	ExpiresUnixNano int64 `json:"expires_unix_nano"`
	// Set is the number of the grant set.
	Set uint64 `json:"set"`
	// Full is true if Grants replaces the grant set of the home. Otherwise only the expiry time is extended.
	Full   bool         `json:"full"`
	Grants []grantEntry `json:"grants,omitempty"`
}

// RenewResponse is the JSON body of the response to a renewal.
type RenewResponse struct {
	Health Health   `json:"health"`
	Stale  []string `json:"stale,omitempty"`
}

// WithdrawRequest is the JSON body of a withdrawal.
type WithdrawRequest struct {
	Home     string   `json:"home"`
	Sequence uint64   `json:"call"`
	Scopes   []string `json:"scopes"`
}

// Expires returns the expiry time of the grants.
func (c *RenewRequest) Expires() time.Time { return time.Unix(0, c.ExpiresUnixNano) }

// DecodeGrants parses the grants of the call. The error quotes the malformed scope or token.
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
