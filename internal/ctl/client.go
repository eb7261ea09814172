package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 16 << 20
	// maxAttempts limits the attempts, including the first, for a change whose outcome is unknown.
	maxAttempts = 3
	// retryDelay is the delay before each retry.
	retryDelay = time.Second
)

// errGatewayUnreachable is returned if the request fails without a complete HTTP response.
var errGatewayUnreachable = errors.New("no response from the gateway; choose another one with --gateway")

// client is a client of one gateway's administration API for one team.
type client struct {
	session *session
	base    string
	token   string
}

// newClient returns a client for the team, which the --team option overrides.
func (s *session) newClient(team string) (*client, error) {
	if s.options.Gateway == "" {
		return nil, newUsageError("no gateway; use --gateway HOST:PORT or set PLANK_GATEWAY")
	}
	if s.options.Team != "" {
		team = s.options.Team
	}
	if team == "" {
		return nil, newUsageError("no team; use --team NAME or set PLANK_TEAM")
	}
	token, err := s.readToken()
	if err != nil {
		return nil, err
	}
	base := "http://" + s.options.Gateway + "/v1/teams/" + escapePathSegment(team)
	if _, err := url.Parse(base); err != nil {
		return nil, newUsageError("%q is not HOST:PORT", s.options.Gateway)
	}
	return &client{session: s, base: base, token: token}, nil
}

// escapePathSegment escapes text as a single path segment. It also escapes segments that consist of dots, because HTTP
// servers remove those when they clean the path.
func escapePathSegment(text string) string {
	if strings.Trim(text, ".") == "" {
		return strings.ReplaceAll(text, ".", "%2E")
	}
	return url.PathEscape(text)
}

// problemError is an error response of the gateway in the problem details format (RFC 9457).
type problemError struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// Error returns the detail, which includes the remedy, or the HTTP status if there is none.
func (p *problemError) Error() string {
	if p.Detail == "" {
		return fmt.Sprintf("the gateway returned HTTP status %d without details; check --gateway", p.Status)
	}
	return p.Detail
}

// isOutcomeUnknown reports whether the change may have taken effect despite the error.
func (p *problemError) isOutcomeUnknown() bool {
	return p.Status == http.StatusServiceUnavailable && p.Outcome == "unknown"
}

// apiRequest is a request to the administration API. The path is relative to the team's base URL.
type apiRequest struct {
	method  string
	path    string
	headers map[string]string
	body    []byte
}

// get sends a GET request and decodes the response into result.
func (c *client) get(path string, result any) error {
	return c.do(apiRequest{method: http.MethodGet, path: path}, result)
}

// sendChange sends a change with an idempotency key. While the outcome is unknown it retries with the same key, so that
// the change takes effect at most once.
func (c *client) sendChange(r apiRequest, id string, result any) error {
	if r.headers == nil {
		r.headers = make(map[string]string)
	}
	r.headers["Idempotency-Key"] = id
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			if err := c.session.program.Sleep(c.session.ctx, retryDelay); err != nil {
				return err
			}
		}
		err = c.do(r, result)
		var problem *problemError
		if err == nil || errors.As(err, &problem) && !problem.isOutcomeUnknown() {
			return err
		}
	}
	return errors.Wrapf(err, "the outcome of the change is unknown; repeat the command with --id %s, which is safe", id)
}

// do sends the request once and decodes the response into result.
func (c *client) do(r apiRequest, result any) error {
	ctx, cancel := context.WithTimeout(c.session.ctx, c.session.options.Timeout)
	defer cancel()
	request, err := c.newRequest(ctx, r)
	if err != nil {
		return err
	}
	response, err := c.session.program.HTTP.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s", errGatewayUnreachable.Error()), errGatewayUnreachable)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(text) > maxResponseBytes {
		err = errors.Newf("response of more than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s", errGatewayUnreachable.Error()), errGatewayUnreachable)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return parseProblem(response.StatusCode, text)
	}
	return errors.Wrap(json.Unmarshal(text, result), "decode the gateway's response; check --gateway")
}

func (c *client) newRequest(ctx context.Context, r apiRequest) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	request, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, body)
	if err != nil {
		return nil, newUsageError("%q is not HOST:PORT", c.session.options.Gateway)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range r.headers {
		request.Header.Set(name, value)
	}
	return request, nil
}

func parseProblem(status int, text []byte) error {
	problem := &problemError{}
	if json.Unmarshal(text, problem) != nil {
		problem = &problemError{}
	}
	problem.Status = status
	return problem
}
