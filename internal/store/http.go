package store

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Paths and parameters of the HTTP form of the store. Durations are in Go syntax ("600ms"); values are bodies.
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

// statusOf maps the errors of a Store to HTTP status codes.
func statusOf(err error) int {
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

// errorOf maps HTTP status codes to the errors of a Store.
func errorOf(status int) error {
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
