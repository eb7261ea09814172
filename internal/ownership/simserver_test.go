package ownership

import (
	"slices"
	"time"
)

// hold is a grant that a simulated backend server keeps.
type hold struct {
	keys  Keys
	token Token
	until time.Duration
}

// simServer is one life of a backend server. It checks the token of a grant when the call arrives only, which is the
// weakest check that the protocol allows.
type simServer struct {
	holder Holder
	up     bool
	holds  []hold
	seen   map[int]Token
}

func (s *simServer) owns(key int, now time.Duration) bool {
	return s.up && slices.ContainsFunc(s.holds, func(h hold) bool { return h.keys.Contains(key) && now < h.until })
}

func (s *simServer) sawHigher(keys Keys, token Token) bool {
	for key := keys.First; key <= keys.Last; key++ {
		if s.seen[key] > token {
			return true
		}
	}
	return false
}

func (s *simServer) apply(h hold) {
	s.remove(h.keys)
	s.holds = append(s.holds, h)
	for key := h.keys.First; key <= h.keys.Last; key++ {
		s.seen[key] = max(s.seen[key], h.token)
	}
}

// remove ends the holds of keys and keeps the rest of each hold.
func (s *simServer) remove(keys Keys) {
	var left []hold
	for _, h := range s.holds {
		for key := h.keys.First; key <= h.keys.Last; key++ {
			if !keys.Contains(key) {
				left = append(left, hold{keys: Keys{First: key, Last: key}, token: h.token, until: h.until})
			}
		}
	}
	s.holds = left
}
