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

// maxControlResponseBytes limits the size of the response to a control call. 65,536 stale scopes fit.
const maxControlResponseBytes = 2 << 20

// Errors of control calls.
var (
	// ErrControlCall marks the errors of control calls that failed or were refused.
	ErrControlCall     = errors.New("control call to the backend server failed; retry before the grants expire")
	errUnknownGrantSet = errors.New("backend server does not know the grant set; send the full set")
)

// GrantClient manages the grants of one home at one backend server. Its calls are serialized.
type GrantClient struct {
	client *Client
	home   string

	mu sync.Mutex // mu protects the fields below and serializes the calls
	// lastCall is the number of the last call.
	lastCall uint64
	// serverSet is the number of the grant set that the server holds. It is only valid if serverSetKnown is
	// true.
	serverSet      uint64
	serverSetKnown bool
}

// NewGrantClient returns a GrantClient that identifies itself to the server by a random name.
func NewGrantClient(client *Client) *GrantClient {
	return &GrantClient{client: client, home: rand.Text()}
}

// Renew extends all grants of the set until expires. The grants themselves are only sent if the server might
// not hold the set yet.
func (g *GrantClient) Renew(ctx context.Context, set GrantSet, expires time.Time) (RenewResult, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serverSetKnown && g.serverSet == set.Number {
		result, err := g.renew(ctx, set, expires, false)
		if !errors.Is(err, errUnknownGrantSet) {
			return result, err
		}
	}
	g.serverSetKnown = false
	result, err := g.renew(ctx, set, expires, true)
	if err == nil {
		g.serverSetKnown = true
		g.serverSet = set.Number
	}
	return result, err
}

func (g *GrantClient) renew(ctx context.Context, set GrantSet, expires time.Time, full bool) (RenewResult, error) {
	g.lastCall++
	call := RenewRequest{
		Home: g.home, Sequence: g.lastCall, ExpiresUnixNano: expires.UnixNano(), Set: set.Number, Full: full,
	}
	if full {
		call.Grants = encodeGrants(set.Grants)
	}
	var response RenewResponse
	if err := g.client.doControl(ctx, http.MethodPost, PathRenew, call, &response); err != nil {
		return RenewResult{}, err
	}
	return response.decode()
}

// Withdraw revokes the grants of the scopes. Once it has returned nil, the server starts no further requests
// under them.
func (g *GrantClient) Withdraw(ctx context.Context, scopes []Scope) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCall++
	g.serverSetKnown = false
	call := WithdrawRequest{Home: g.home, Sequence: g.lastCall, Scopes: make([]string, 0, len(scopes))}
	for _, scope := range scopes {
		call.Scopes = append(call.Scopes, scope.String())
	}
	return g.client.doControl(ctx, http.MethodPost, PathWithdraw, call, nil)
}

// Probe requests the health report of the server.
func (g *GrantClient) Probe(ctx context.Context) (Health, error) {
	var health Health
	err := g.client.doControl(ctx, http.MethodGet, PathHealth, nil, &health)
	return health, err
}

func (r *RenewResponse) decode() (RenewResult, error) {
	result := RenewResult{Health: r.Health}
	for _, text := range r.Stale {
		scope, err := ParseScope(text)
		if err != nil {
			return RenewResult{}, errors.Mark(err, ErrControlCall)
		}
		result.Stale = append(result.Stale, scope)
	}
	return result, nil
}

// doControl makes one control call. input is sent as JSON and the response is decoded into output; either may
// be nil.
func (c *Client) doControl(ctx context.Context, method, path string, input, output any) error {
	request, err := c.newControlRequest(ctx, method, path, input)
	if err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	defer func() { _ = response.Body.Close() }() // the response has been read or is discarded
	return readControlResponse(response, output)
}

func (c *Client) newControlRequest(ctx context.Context, method, path string, input any) (*http.Request, error) {
	var body io.Reader
	if input != nil {
		encoded, err := json.Marshal(input)
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

func readControlResponse(response *http.Response, output any) error {
	if Refusal(response.Header.Get(HeaderRefused)) == RefusedUnknownSet {
		return errUnknownGrantSet
	}
	if response.StatusCode != http.StatusOK {
		return errors.Mark(errors.Newf("backend server returned status %d %s",
			response.StatusCode, response.Header.Get(HeaderRefused)), ErrControlCall)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxControlResponseBytes+1))
	if err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	if len(body) > maxControlResponseBytes {
		return errors.Mark(errors.Newf("answer of the backend server exceeds %d bytes", maxControlResponseBytes), ErrControlCall)
	}
	if output == nil {
		return nil
	}
	if err := json.Unmarshal(body, output); err != nil {
		return errors.Mark(err, ErrControlCall)
	}
	return nil
}
