package admin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// Sources are what the administration API answers from. A question whose source is nil is answered with 501.
type Sources struct {
	Config  Configurer
	Status  StatusSource
	Owners  OwnerSource
	Stops   StopSource
	Explain ExplainSource
}

// Server is the http.Handler of the administration API.
type Server struct {
	sources  Sources
	tokens   *Tokens
	recorder timeline.Recorder
	log      logrus.FieldLogger
	mux      *http.ServeMux
}

// New returns a server. Without tokens it refuses every request.
func New(sources Sources, tokens *Tokens, recorder timeline.Recorder, log logrus.FieldLogger) *Server {
	s := &Server{sources: sources, tokens: tokens, recorder: recorder, log: log, mux: http.NewServeMux()}
	byPath := make(map[string][]route)
	for _, r := range s.routes() {
		byPath[r.path] = append(byPath[r.path], r)
	}
	for path, routes := range byPath {
		s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, routes) })
	}
	s.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		outcome.New(KindNotFound, http.StatusNotFound, outcome.NotExecuted, "no such path; api/openapi.json lists all").Write(w)
	})
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// route is one method of one path.
type route struct {
	method string
	path   string
	role   Role
	handle func(c *call) error
}

const teamPath = "/v1/teams/{team}"

func (s *Server) routes() []route {
	return []route{
		{http.MethodGet, teamPath + "/config", RoleReader, s.getConfig},
		{http.MethodPut, teamPath + "/config", RoleOperator, s.putConfig},
		{http.MethodGet, teamPath + "/stops", RoleReader, s.getStops},
		{http.MethodPost, teamPath + "/stops", RoleOperator, s.postStop},
		{http.MethodDelete, teamPath + "/stops/{target}", RoleOperator, s.deleteStop},
		{http.MethodGet, teamPath + "/status", RoleReader, s.getStatus},
		{http.MethodGet, teamPath + "/owners/{service}/{key}", RoleReader, s.getOwner},
		{http.MethodGet, teamPath + "/explain/{request}", RoleReader, s.getExplanation},
	}
}

// call is one request with its authenticated sender.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	team     string
	identity Identity
}

// serve authenticates the request before it looks at the method, so that a stranger learns nothing about a team.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, routes []route) {
	w.Header().Set("Cache-Control", "no-store")
	c := &call{w: w, r: r, team: r.PathValue("team")}
	if problem := s.authenticate(c); problem != nil {
		s.audit(eventDenied, c, problem.Detail)
		problem.Write(w)
		return
	}
	at := slices.IndexFunc(routes, func(route route) bool { return route.serves(r.Method) })
	if at < 0 {
		w.Header().Set("Allow", allowed(routes))
		outcome.New(KindMethodNotAllowed, http.StatusMethodNotAllowed, outcome.NotExecuted, "use "+allowed(routes)).Write(w)
		return
	}
	if !c.identity.Role.allows(routes[at].role) {
		problem := outcome.New(KindForbidden, http.StatusForbidden, outcome.NotExecuted,
			"the token has the role "+string(c.identity.Role)+"; use one with the role "+string(routes[at].role))
		s.audit(eventDenied, c, problem.Detail)
		problem.Write(w)
		return
	}
	if err := routes[at].handle(c); err != nil {
		s.refuse(c, err)
	}
}

func (r route) serves(method string) bool {
	return method == r.method || method == http.MethodHead && r.method == http.MethodGet
}

func allowed(routes []route) string {
	methods := make([]string, len(routes))
	for i, route := range routes {
		methods[i] = route.method
	}
	return strings.Join(methods, ", ")
}

// authenticate finds the sender. A token of another team gets the same answer whether or not the team exists.
func (s *Server) authenticate(c *call) *outcome.Problem {
	token, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	identity, known := s.tokens.Lookup(token)
	if !ok || !known {
		c.w.Header().Set("WWW-Authenticate", authenticateResponse)
		return outcome.New(KindUnauthorized, http.StatusUnauthorized, outcome.NotExecuted,
			"send a valid token as Authorization: Bearer TOKEN")
	}
	c.identity = identity
	if identity.Team != c.team {
		return outcome.New(KindForbidden, http.StatusForbidden, outcome.NotExecuted, "the token belongs to another team")
	}
	return nil
}

// refuse answers with the problem of an error and records refused changes.
func (s *Server) refuse(c *call, err error) {
	problem := problemOf(err)
	if problem.Status == http.StatusInternalServerError {
		s.log.WithError(err).Errorf("admin: %s %s failed", c.r.Method, c.r.URL.Path)
	}
	if c.isChange() {
		s.audit(eventRefused, c, problem.Error())
	}
	problem.Write(c.w)
}

func (c *call) isChange() bool { return c.r.Method != http.MethodGet && c.r.Method != http.MethodHead }

// answer sends a JSON document.
func (c *call) answer(status int, document any) error {
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	// The status line is already sent; a failed write only means that the operator has left.
	_ = json.NewEncoder(c.w).Encode(document)
	return nil
}
