package admin

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

func (s *Server) getStops(c *authRequest) error {
	if s.sources.Stops == nil || s.sources.Config == nil {
		return notProvided()
	}
	current, err := s.sources.Config.Current(c.r.Context(), c.team)
	if err != nil {
		return err
	}
	progress, err := s.sources.Stops.StopProgress(c.r.Context(), c.team)
	if err != nil {
		return err
	}
	if progress == nil {
		progress = []StopProgress{}
	}
	return c.writeJSON(http.StatusOK, StopList{Revision: current.Revision, Stops: progress})
}

func (s *Server) postStop(c *authRequest) error {
	if s.sources.Config == nil {
		return notProvided()
	}
	id, err := c.idempotencyKey()
	if err != nil {
		return err
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	var request StopRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return outcome.New(outcome.KindBadRequest, http.StatusBadRequest, outcome.NotExecuted,
			`the body is not an announcement; send {"target": HOST, "at": TIME, "for_seconds": NUMBER}`)
	}
	stop := config.Stop{Target: request.Target, At: request.At, ForSeconds: request.ForSeconds}
	accepted, err := s.sources.Config.Announce(c.r.Context(), c.team,
		accept.Announcement{ID: id, Operator: c.identity.Name, Stop: stop})
	if err != nil {
		return err
	}
	return s.writeAccepted(c, http.StatusCreated, id, accepted)
}

func (s *Server) deleteStop(c *authRequest) error {
	if s.sources.Config == nil {
		return notProvided()
	}
	id, err := c.idempotencyKey()
	if err != nil {
		return err
	}
	stop := config.Stop{Target: c.r.PathValue("target")}
	accepted, err := s.sources.Config.Cancel(c.r.Context(), c.team,
		accept.Announcement{ID: id, Operator: c.identity.Name, Stop: stop})
	if err != nil {
		return err
	}
	return s.writeAccepted(c, http.StatusOK, id, accepted)
}

func (s *Server) getStatus(c *authRequest) error {
	if s.sources.Status == nil {
		return notProvided()
	}
	status, err := s.sources.Status.Status(c.r.Context(), c.team)
	if err != nil {
		return err
	}
	return c.writeJSON(http.StatusOK, status)
}

func (s *Server) getOwner(c *authRequest) error {
	if s.sources.Owners == nil {
		return notProvided()
	}
	owner, err := s.sources.Owners.Owner(c.r.Context(), c.team, c.r.PathValue("service"), c.r.PathValue("key"))
	if err != nil {
		return err
	}
	return c.writeJSON(http.StatusOK, owner)
}

func (s *Server) getExplanation(c *authRequest) error {
	if s.sources.Explain == nil {
		return notProvided()
	}
	explanation, err := s.sources.Explain.Explain(c.r.Context(), c.team, c.r.PathValue("request"))
	if err != nil {
		return err
	}
	return c.writeJSON(http.StatusOK, explanation)
}
