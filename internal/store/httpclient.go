package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
)

// Client is a Store that uses the HTTP API of NewHandler in another process. It sets no timeouts of its own, so each
// call needs a context with a deadline.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the store at the URL base, for example "http://127.0.0.1:7400".
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: httpcheck.Client(client)}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	query := url.Values{paramKey: {key}}
	return c.call(ctx, http.MethodGet, pathEntry, query, nil, key)
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, ErrTooLarge
	}
	query := url.Values{paramKey: {key}, paramVersion: {strconv.FormatUint(version, 10)}}
	// net/http does not retry PUT. A retry of a write that took effect would fail with a conflict caused by the write
	// itself.
	entry, err := c.call(ctx, http.MethodPut, pathEntry, query, value, key)
	if err != nil {
		return Entry{}, err
	}
	entry.Value = bytes.Clone(value)
	return entry, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, version uint64) (Entry, error) {
	query := url.Values{paramKey: {key}, paramVersion: {strconv.FormatUint(version, 10)}}
	return c.call(ctx, http.MethodGet, pathWatch, query, nil, key)
}

// Acquire implements Store.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) error {
	_, err := c.call(ctx, http.MethodPost, pathAcquire, leaseQuery(name, holder, ttl), nil, "")
	return err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	_, err := c.call(ctx, http.MethodPost, pathRenew, leaseQuery(name, holder, ttl), nil, "")
	return err
}

func leaseQuery(name, holder string, ttl time.Duration) url.Values {
	return url.Values{paramName: {name}, paramHolder: {holder}, paramTTL: {ttl.String()}}
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, key string) (Entry, error) {
	target := c.base + path + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return Entry{}, errors.Wrapf(err, "store address %q is not a URL; correct the setting", c.base)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Entry{}, wrapUnavailable(err)
	}
	defer response.Body.Close()
	value, err := readValue(response)
	if err != nil {
		return Entry{}, err
	}
	if err := errorFromStatus(response.StatusCode); err != nil {
		return Entry{}, err
	}
	version, err := strconv.ParseUint(response.Header.Get(headerVersion), 10, 64)
	if err != nil {
		return Entry{}, errors.Wrap(ErrUnavailable, "answer without version")
	}
	return Entry{Key: key, Value: value, Version: version}, nil
}

// readValue reads the body of a response, which must be certain to be whole.
func readValue(response *http.Response) ([]byte, error) {
	if httpcheck.EndsWithConnection(response) {
		return nil, errors.Wrap(ErrUnavailable, "answer without length, so that a cut could not be noticed")
	}
	value, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return nil, wrapUnavailable(err)
	}
	if len(value) > MaxValueBytes {
		return nil, errors.Wrapf(ErrUnavailable, "answer of more than %d bytes", MaxValueBytes)
	}
	return value, nil
}
