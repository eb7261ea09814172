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

// headerID carries the id of an accept, so that a repeat has no further effect.
const headerID = "Idempotency-Key"

// maxIDBytes bounds the id of an accept, which the configuration keeps.
const maxIDBytes = 64

// Query parameters of an accept.
const (
	queryChange      = "change"
	queryAcknowledge = "acknowledge"
)

func (s *Server) getConfig(c *call) error {
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
	return c.answer(http.StatusOK, current)
}

func (s *Server) putConfig(c *call) error {
	if s.sources.Config == nil {
		return notProvided()
	}
	seen, err := c.seenRevision()
	if err != nil {
		return err
	}
	id, err := c.acceptID()
	if err != nil {
		return err
	}
	body, err := c.body()
	if err != nil {
		return err
	}
	document, err := config.Decode(body)
	if err != nil {
		return err
	}
	query := c.r.URL.Query()
	request := accept.Request{ID: id, BaseRevision: seen, Config: document, Operator: c.identity.Name, Change: query.Get(queryChange)}
	for _, kind := range query[queryAcknowledge] {
		request.Acknowledged = append(request.Acknowledged, config.HazardKind(kind))
	}
	accepted, err := s.sources.Config.Accept(c.r.Context(), c.team, request)
	if err != nil {
		return err
	}
	return s.acceptedAnswer(c, http.StatusOK, id, accepted)
}

// acceptedAnswer records the accept and sends the configuration.
func (s *Server) acceptedAnswer(c *call, status int, id string, accepted *config.Config) error {
	change := "accepted before"
	if record, ok := accepted.HistoryEntryByID(id); ok {
		change = "revision " + strconv.FormatUint(record.Revision, 10) + ": " + record.Change
	}
	s.audit(eventAccepted, c, change)
	c.w.Header().Set("ETag", entityTag(accepted.Revision))
	return c.answer(status, accepted)
}

// entityTag returns the entity tag of a revision.
func entityTag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// seenRevision reads the revision on which the operator based the change. "If-None-Match: *" stands for none.
func (c *call) seenRevision() (uint64, error) {
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

// acceptID reads the id of the accept.
func (c *call) acceptID() (string, error) {
	id := c.r.Header.Get(headerID)
	if id == "" {
		return "", errors.Wrap(accept.ErrNoID, headerID)
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return "", badID()
		}
	}
	if len(id) > maxIDBytes {
		return "", badID()
	}
	return id, nil
}

func badID() error {
	return outcome.New(outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted,
		headerID+" has more than 64 characters, or spaces or characters outside ASCII; use a UUID")
}

// body reads a document of bounded size.
func (c *call) body() ([]byte, error) {
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
