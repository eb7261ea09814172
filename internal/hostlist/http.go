package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
)

// pathHosts is the path of the list, which is a JSON array of Host.
const pathHosts = "/v1/hosts"

// maxListBytes limits the list. Each host takes about 200 bytes.
const maxListBytes = 8 << 20

// NewHandler returns a handler that serves list to Client over HTTP.
func NewHandler(list List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathHosts, func(w http.ResponseWriter, r *http.Request) {
		hosts, err := list.Hosts(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if hosts == nil {
			hosts = []Host{}
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected; there is nobody to report it to.
		_ = json.NewEncoder(w).Encode(hosts)
	})
	return mux
}

// Client is a List that uses the HTTP API of NewHandler in another process. It sets no timeouts of its own, so each
// call needs a context with a deadline.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the list at the URL base, for example "http://127.0.0.1:7400".
func NewClient(base string, client *http.Client) *Client {
	return &Client{url: strings.TrimSuffix(base, "/") + pathHosts, http: httpcheck.Client(client)}
}

// Hosts implements List.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "host list address %q is not a valid URL; correct the setting", c.url)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "unexpected HTTP status %d", response.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return decodeHosts(text)
}

// decodeHosts decodes a whole list.
func decodeHosts(text []byte) ([]Host, error) {
	if len(text) > maxListBytes {
		return nil, errors.Wrapf(ErrUnavailable, "list of more than %d bytes", maxListBytes)
	}
	var hosts []Host
	if err := json.Unmarshal(text, &hosts); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if hosts == nil {
		return nil, errors.Wrap(ErrUnavailable, "answer without a list")
	}
	return hosts, nil
}
