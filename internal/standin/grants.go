package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// heldGrant is a grant in force until its home's expiry.
type heldGrant struct {
	token fence.Token
	home  string
}

// homeState is what the server knows of one home.
type homeState struct {
	lastCall uint64
	set      uint64
	known    bool
	expires  time.Time
}

// grantTable holds the grants and the greatest token seen for each scope.
type grantTable struct {
	held     map[string]heldGrant
	greatest map[string]fence.Token
	homes    map[string]*homeState
}

func newGrantTable() grantTable {
	return grantTable{
		held:     make(map[string]heldGrant),
		greatest: make(map[string]fence.Token),
		homes:    make(map[string]*homeState),
	}
}

// home returns the state of a home, or nil if the call is outdated.
func (t *grantTable) home(id string, call uint64) *homeState {
	state := t.homes[id]
	if state == nil {
		state = &homeState{}
		t.homes[id] = state
	}
	if call <= state.lastCall {
		return nil
	}
	state.lastCall = call
	return state
}

// replace installs a full set and returns the scopes with a greater token.
func (t *grantTable) replace(home string, grants []backend.Grant) []string {
	for scope, held := range t.held {
		if held.home == home {
			delete(t.held, scope)
		}
	}
	var stale []string
	for _, grant := range grants {
		scope := grant.Scope.String()
		if grant.Token.Less(t.greatest[scope]) {
			stale = append(stale, scope)
			continue
		}
		t.greatest[scope] = grant.Token
		t.held[scope] = heldGrant{token: grant.Token, home: home}
	}
	return stale
}

// refusal returns the reason to refuse a request under token, or "".
func (t *grantTable) refusal(scope, tokenText string, now time.Time) backend.Refusal {
	token, err := fence.Parse(tokenText)
	if err != nil || token.Less(t.greatest[scope]) {
		return backend.RefusedStaleToken
	}
	held, ok := t.held[scope]
	if !ok || held.token != token || !now.Before(t.homes[held.home].expires) {
		return backend.RefusedNoGrant
	}
	return ""
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var call backend.RenewRequest
	if !s.startControl(w, r, &call) {
		return
	}
	grants, err := call.DecodeGrants()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stale, reason := s.install(&call, grants)
	if reason != "" {
		w.Header().Set(backend.HeaderRefused, string(reason))
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, backend.RenewResponse{Health: s.health(), Stale: stale})
}

func (s *Server) install(call *backend.RenewRequest, grants []backend.Grant) ([]string, backend.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	home := s.grants.home(call.Home, call.Sequence)
	if home == nil {
		return nil, backend.RefusedOutdated
	}
	if !call.Full && (!home.known || home.set != call.Set) {
		return nil, backend.RefusedUnknownSet
	}
	home.expires = call.Expires()
	if !call.Full {
		return nil, ""
	}
	home.known = true
	home.set = call.Set
	return s.grants.replace(call.Home, grants), ""
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	var call backend.WithdrawRequest
	if !s.startControl(w, r, &call) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	home := s.grants.home(call.Home, call.Sequence)
	if home == nil {
		w.Header().Set(backend.HeaderRefused, string(backend.RefusedOutdated))
		w.WriteHeader(http.StatusConflict)
		return
	}
	home.known = false
	for _, scope := range call.Scopes {
		if s.grants.held[scope].home == call.Home {
			delete(s.grants.held, scope)
		}
	}
	w.WriteHeader(http.StatusOK)
}

// ActiveGrants returns the scopes with a grant in force.
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

// DropGrants forgets all grants and tokens, as a restart does.
func (s *Server) DropGrants() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants = newGrantTable()
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	// The home drops an answer that it cannot read.
	_ = json.NewEncoder(w).Encode(document)
}
