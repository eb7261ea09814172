package admin

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// headerIdempotencyKey carries the id of a write request, so that repeating the request has no further effect.
const headerIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKeyBytes limits the size of the id, which is stored in the configuration.
const maxIdempotencyKeyBytes = 64

// Query parameters of a request that replaces the configuration.
const (
	queryChange      = "change"
	queryAcknowledge = "acknowledge"
)

func (s *Server) getConfig(c *authRequest) error {
	if s.sources.Config == nil {
		return notProvided()
	}
	current, err := s.sources.Config.Current(c.r.Context(), c.team)
	if err != nil {
		return err
	}
	tag := entityTag(current.Revision)
	c.w.Header().Set("ETag", tag)
	if c.r.Header.Get("If-None-Match") == tag {
		c.w.WriteHeader(http.StatusNotModified)
		return nil
	}
	return c.writeJSON(http.StatusOK, current)
}

func (s *Server) putConfig(c *authRequest) error {
	if s.sources.Config == nil {
		return notProvided()
	}
	base, err := c.baseRevision()
	if err != nil {
		return err
	}
	id, err := c.idempotencyKey()
	if err != nil {
		return err
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	document, err := config.Decode(body)
	if err != nil {
		return err
	}
	query := c.r.URL.Query()
	request := accept.Request{ID: id, BaseRevision: base, Config: document, Operator: c.identity.Name, Change: query.Get(queryChange)}
	for _, kind := range query[queryAcknowledge] {
		request.Acknowledged = append(request.Acknowledged, config.HazardKind(kind))
	}
	accepted, err := s.sources.Config.Accept(c.r.Context(), c.team, request)
	if err != nil {
		return err
	}
	return s.writeAccepted(c, http.StatusOK, id, accepted)
}

// writeAccepted records the accepted change in the audit log and sends the resulting configuration.
func (s *Server) writeAccepted(c *authRequest, status int, id string, accepted *config.Config) error {
	change := "accepted before"
	if record, ok := accepted.HistoryEntryByID(id); ok {
		change = "revision " + strconv.FormatUint(record.Revision, 10) + ": " + record.Change
	}
	s.audit(eventAccepted, c, change)
	c.w.Header().Set("ETag", entityTag(accepted.Revision))
	return c.writeJSON(status, accepted)
}

func entityTag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// baseRevision returns the revision on which the change is based, from If-Match. "If-None-Match: *" means that there
// is no configuration yet and gives 0.
func (c *authRequest) baseRevision() (uint64, error) {
	if c.r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	text := c.r.Header.Get("If-Match")
	if text == "" {
		return 0, outcome.New(KindRevisionRequired, http.StatusPreconditionRequired, outcome.NotExecuted,
			`send the entity tag of the configuration that was read as If-Match, or If-None-Match: * for the first one`)
	}
	inner, opened := strings.CutPrefix(text, `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	revision, err := strconv.ParseUint(inner, 10, 64)
	if !opened || !closed || err != nil {
		return 0, outcome.New(outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted,
			`If-Match is not one entity tag of a revision, such as "7"`)
	}
	return revision, nil
}

// idempotencyKey returns the id of the write request and checks that it is printable ASCII of bounded length.
func (c *authRequest) idempotencyKey() (string, error) {
	id := c.r.Header.Get(headerIdempotencyKey)
	if id == "" {
		return "", errors.Wrap(accept.ErrNoID, headerIdempotencyKey)
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return "", invalidIdempotencyKey()
		}
	}
	if len(id) > maxIdempotencyKeyBytes {
		return "", invalidIdempotencyKey()
	}
	return id, nil
}

func invalidIdempotencyKey() error {
	return outcome.New(outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted,
		headerIdempotencyKey+" has more than 64 characters, or spaces or characters outside ASCII; use a UUID")
}

// readBody reads the request body, up to config.MaxDocumentBytes.
func (c *authRequest) readBody() ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, config.MaxDocumentBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, config.ErrTooLarge
	}
	if err != nil {
		return nil, outcome.New(outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted, "the body ended early; send it again")
	}
	return body, nil
}

func notProvided() error {
	return outcome.New(KindNotProvided, http.StatusNotImplemented, outcome.NotExecuted, "this gateway does not answer the question; ask another")
}
