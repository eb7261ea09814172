package store

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Paths, query parameters and headers of the HTTP API. Durations use Go syntax ("600ms"); the value of an entry is
// the body.
const (
	pathEntry   = "/v1/entry"
	pathWatch   = "/v1/watch"
	pathAcquire = "/v1/lease/acquire"
	pathRenew   = "/v1/lease/renew"

	paramKey     = "key"
	paramVersion = "version"
	paramName    = "name"
	paramHolder  = "holder"
	paramTTL     = "ttl"

	headerVersion = "Store-Version"
)

// statusFromError maps an error of a Store to an HTTP status code.
func statusFromError(err error) int {
	switch {
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrConflict):
		return http.StatusConflict
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrLeaseLost):
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

// errorFromStatus maps an HTTP status code to an error of a Store.
func errorFromStatus(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusGone:
		return ErrLeaseLost
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}
