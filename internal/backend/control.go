package backend

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxControlBytes bounds the answer to a control call: 65,536 stale scopes fit.
const maxControlBytes = 2 << 20

// Sentinels of control calls.
var (
	// ErrControlCall is returned if a control call failed or was refused.
	ErrControlCall = errors.New("control call to the backend server failed; repeat it before the grants expire")
	errUnknownSet  = errors.New("the backend server does not have the set of grants; send the full set")
)

// GrantClient makes the grant calls of one home to one backend server, one at a time.
type GrantClient struct {
	client *Client
	home   string

	mu sync.Mutex // mu protects the fields below and serializes the calls
	// call is the number of the last call.
	call uint64
	// sent is the number of the set that the server has, if known.
	sent  uint64
	known bool
}

// NewGrantClient returns a Grantor with a random identity.
func NewGrantClient(client *Client) *GrantClient {
	return &GrantClient{client: client, home: rand.Text()}
}

// Renew grants the whole set until expires. It sends the set itself only if the server may not have it.
func (g *GrantClient) Renew(ctx context.Context, set GrantSet, expires time.Time) (RenewResult, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known && g.sent == set.Number {
		status, err := g.renew(ctx, set, expires, false)
		if !errors.Is(err, errUnknownSet) {
			return status, err
		}
	}
	g.known = false
	status, err := g.renew(ctx, set, expires, true)
	if err == nil {
		g.known = true
		g.sent = set.Number
	}
	return status, err
}

func (g *GrantClient) renew(ctx context.Context, set GrantSet, expires time.Time, full bool) (RenewResult, error) {
	g.call++
	call := RenewRequest{
		Home: g.home, Sequence: g.call, ExpiresUnixNano: expires.UnixNano(), Set: set.Number, Full: full,
	}
	if full {
		call.Grants = encodeGrants(set.Grants)
	}
	var answer RenewResponse
	if err := g.client.control(ctx, http.MethodPost, PathRenew, call, &answer); err != nil {
		return RenewResult{}, err
	}
	return answer.decoded()
}

// Withdraw ends the grants of the scopes. After a nil error the server executes nothing new under them.
func (g *GrantClient) Withdraw(ctx context.Context, scopes []Scope) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.call++
	g.known = false
	call := WithdrawRequest{Home: g.home, Sequence: g.call, Scopes: make([]string, 0, len(scopes))}
	for _, scope := range scopes {
		call.Scopes = append(call.Scopes, scope.String())
	}
	return g.client.control(ctx, http.MethodPost, PathWithdraw, call, nil)
}

// Probe asks the server for its health.
func (g *GrantClient) Probe(ctx context.Context) (Health, error) {
	var health Health
	err := g.client.control(ctx, http.MethodGet, PathHealth, nil, &health)
	return health, err
}

func (a *RenewResponse) decoded() (RenewResult, error) {
	status := RenewResult{Health: a.Health}
	for _, text := range a.Stale {
		scope, err := ParseScope(text)
		if err != nil {
			return RenewResult{}, errors.Mark(err, ErrControlCall)
		}
		status.Stale = append(status.Stale, scope)
	}
	return status, nil
}

// control makes one control call. in and out are JSON documents, or nil.
func (c *Client) control(ctx context.Context, method, path string, in, out any) error {
	request, err := c.controlRequest(ctx, method, path, in)
	if err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	defer func() { _ = answer.Body.Close() }() // the answer was read or is dropped
	return readControlAnswer(answer, out)
}

func (c *Client) controlRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func readControlAnswer(answer *http.Response, out any) error {
	if Refusal(answer.Header.Get(HeaderRefused)) == RefusedUnknownSet {
		return errUnknownSet
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Mark(errors.Newf("status %d %s", answer.StatusCode, answer.Header.Get(HeaderRefused)),
			ErrControlCall)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxControlBytes))
	if err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	return nil
}
