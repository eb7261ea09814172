package ownership

import (
	"slices"
	"time"
)

// heldGrant is a grant held by a simulated backend server.
type heldGrant struct {
	keys  Keys
	token Token
	until time.Duration
}

// simServer is one incarnation of a simulated backend server. It checks the token of a grant only when the call
// arrives, which is the weakest check that the protocol allows.
type simServer struct {
	holder        Holder
	up            bool
	startedAt     time.Duration
	grants        []heldGrant
	highestTokens map[int]Token
	// sequence numbers the entries that the server writes, the next one at nextReport.
	sequence   uint64
	nextReport time.Duration
}

func (s *simServer) owns(key int, now time.Duration) bool {
	return s.up && slices.ContainsFunc(s.grants, func(h heldGrant) bool { return h.keys.Contains(key) && now < h.until })
}

func (s *simServer) hasSeenHigherToken(keys Keys, token Token) bool {
	for key := keys.First; key <= keys.Last; key++ {
		if s.highestTokens[key] > token {
			return true
		}
	}
	return false
}

func (s *simServer) apply(h heldGrant) {
	s.revoke(h.keys)
	s.grants = append(s.grants, h)
	for key := h.keys.First; key <= h.keys.Last; key++ {
		s.highestTokens[key] = max(s.highestTokens[key], h.token)
	}
}

// revoke removes keys from the held grants and keeps the remaining keys of each grant.
func (s *simServer) revoke(keys Keys) {
	var remaining []heldGrant
	for _, h := range s.grants {
		for key := h.keys.First; key <= h.keys.Last; key++ {
			if !keys.Contains(key) {
				remaining = append(remaining, heldGrant{keys: Keys{First: key, Last: key}, token: h.token, until: h.until})
			}
		}
	}
	s.grants = remaining
}
