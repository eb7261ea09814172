package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// heldGrant is a grant that expires together with all other grants of its home.
type heldGrant struct {
	token fence.Token
	// home identifies the dispatcher that sent the grant.
	home string
}

// homeState is the state of the grants of one home.
type homeState struct {
	// lastSequence is the sequence number of the last control call.
	lastSequence uint64
	// set is the number of the installed grant set. It is meaningless if hasSet is false.
	set    uint64
	hasSet bool
	// expires is the end of all grants of the home.
	expires time.Time
}

// grantTable holds the current grant and the highest fencing token seen for each scope.
type grantTable struct {
	held    map[string]heldGrant
	highest map[string]fence.Token
	homes   map[string]*homeState
}

func newGrantTable() grantTable {
	return grantTable{
		held:    make(map[string]heldGrant),
		highest: make(map[string]fence.Token),
		homes:   make(map[string]*homeState),
	}
}

// acceptCall records the sequence number of a control call and returns the state of its home. It returns nil if a call
// of the same home with this or a higher number has been received before.
func (t *grantTable) acceptCall(home string, sequence uint64) *homeState {
	state := t.homes[home]
	if state == nil {
		state = &homeState{}
		t.homes[home] = state
	}
	if sequence <= state.lastSequence {
		return nil
	}
	state.lastSequence = sequence
	return state
}

// replaceSet installs the full grant set of a home. It returns the scopes that are not granted because a higher token
// has been seen for them.
func (t *grantTable) replaceSet(home string, grants []backend.Grant) []string {
	for scope, held := range t.held {
		if held.home == home {
			delete(t.held, scope)
		}
	}
	var stale []string
	for _, grant := range grants {
		scope := grant.Scope.String()
		if grant.Token.Less(t.highest[scope]) {
			stale = append(stale, scope)
			continue
		}
		t.highest[scope] = grant.Token
		t.held[scope] = heldGrant{token: grant.Token, home: home}
	}
	return stale
}

// checkToken returns the reason to refuse a request with the given token, or "".
func (t *grantTable) checkToken(scope, tokenText string, now time.Time) backend.Refusal {
	token, err := fence.Parse(tokenText)
	if err != nil || token.Less(t.highest[scope]) {
		return backend.RefusedStaleToken
	}
	held, ok := t.held[scope]
	if !ok || held.token != token || !now.Before(t.homes[held.home].expires) {
		return backend.RefusedNoGrant
	}
	return ""
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	var call backend.RenewRequest
	if !s.readControlCall(w, r, &call) {
		return
	}
	grants, err := call.DecodeGrants()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stale, refusal := s.renewGrants(&call, grants)
	if refusal != "" {
		w.Header().Set(backend.HeaderRefused, string(refusal))
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, backend.RenewResponse{Health: s.healthReport(), Stale: stale})
}

// renewGrants applies a renewal. It returns the stale scopes of the set, or the reason to refuse the call.
func (s *Server) renewGrants(call *backend.RenewRequest, grants []backend.Grant) ([]string, backend.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	home := s.grants.acceptCall(call.Home, call.Sequence)
	if home == nil {
		return nil, backend.RefusedOutdated
	}
	if !call.Full && (!home.hasSet || home.set != call.Set) {
		return nil, backend.RefusedUnknownSet
	}
	home.expires = call.Expires()
	if !call.Full {
		return nil, ""
	}
	home.hasSet = true
	home.set = call.Set
	return s.grants.replaceSet(call.Home, grants), ""
}

func (s *Server) handleWithdraw(w http.ResponseWriter, r *http.Request) {
	var call backend.WithdrawRequest
	if !s.readControlCall(w, r, &call) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	home := s.grants.acceptCall(call.Home, call.Sequence)
	if home == nil {
		w.Header().Set(backend.HeaderRefused, string(backend.RefusedOutdated))
		w.WriteHeader(http.StatusConflict)
		return
	}
	home.hasSet = false
	for _, scope := range call.Scopes {
		if s.grants.held[scope].home == call.Home {
			delete(s.grants.held, scope)
		}
	}
	w.WriteHeader(http.StatusOK)
}

// ActiveGrants returns the fencing tokens of the valid grants by scope.
func (s *Server) ActiveGrants() map[string]fence.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	granted := make(map[string]fence.Token)
	for scope, held := range s.grants.held {
		if now.Before(s.grants.homes[held.home].expires) {
			granted[scope] = held.token
		}
	}
	return granted
}

// DropGrants discards all grants and tokens, as a restart does.
func (s *Server) DropGrants() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants = newGrantTable()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write leaves a truncated response, which the home rejects.
	_ = json.NewEncoder(w).Encode(value)
}
