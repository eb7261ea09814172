package store

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// NewHandler returns a handler that serves s to Client over HTTP.
func NewHandler(s Store) http.Handler {
	h := &handler{store: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathEntry, h.get)
	mux.HandleFunc("PUT "+pathEntry, h.compareAndSwap)
	mux.HandleFunc("GET "+pathWatch, h.watch)
	mux.HandleFunc("POST "+pathAcquire, h.acquire)
	mux.HandleFunc("POST "+pathRenew, h.renew)
	return mux
}

type handler struct {
	store Store
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	entry, err := h.store.Get(r.Context(), r.FormValue(paramKey))
	writeResponse(w, entry, err)
}

func (h *handler) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	version, ok := parseVersion(w, query.Get(paramVersion))
	if !ok {
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		writeResponse(w, Entry{}, errors.Mark(err, ErrUnavailable))
		return
	}
	entry, err := h.store.CompareAndSwap(r.Context(), query.Get(paramKey), version, value)
	writeResponse(w, Entry{Version: entry.Version}, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	version, ok := parseVersion(w, r.FormValue(paramVersion))
	if !ok {
		return
	}
	entry, err := h.store.Watch(r.Context(), r.FormValue(paramKey), version)
	writeResponse(w, entry, err)
}

func (h *handler) acquire(w http.ResponseWriter, r *http.Request) {
	ttl, ok := parseTTL(w, r.FormValue(paramTTL))
	if !ok {
		return
	}
	writeResponse(w, Entry{}, h.store.Acquire(r.Context(), r.FormValue(paramName), r.FormValue(paramHolder), ttl))
}

func (h *handler) renew(w http.ResponseWriter, r *http.Request) {
	ttl, ok := parseTTL(w, r.FormValue(paramTTL))
	if !ok {
		return
	}
	writeResponse(w, Entry{}, h.store.Renew(r.Context(), r.FormValue(paramName), r.FormValue(paramHolder), ttl))
}

func writeResponse(w http.ResponseWriter, entry Entry, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusFromError(err))
		return
	}
	w.Header().Set(headerVersion, strconv.FormatUint(entry.Version, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	// A write error means that the client has disconnected; there is nobody to report it to.
	_, _ = w.Write(entry.Value)
}

func parseVersion(w http.ResponseWriter, text string) (uint64, bool) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		http.Error(w, "parameter version is not a number; send the version of the last read", http.StatusBadRequest)
	}
	return version, err == nil
}

func parseTTL(w http.ResponseWriter, text string) (time.Duration, bool) {
	ttl, err := time.ParseDuration(text)
	if err != nil {
		http.Error(w, "parameter ttl is not a duration; send for example 600ms", http.StatusBadRequest)
	}
	return ttl, err == nil
}
