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

// Sources provide the data of the administration API. Requests whose source is nil get status 501.
type Sources struct {
	Config  Configurer
	Status  StatusSource
	Owners  OwnerSource
	Stops   StopSource
	Explain ExplainSource
}

// Server is an http.Handler that serves the administration API.
type Server struct {
	sources  Sources
	tokens   *Tokens
	recorder timeline.Recorder
	log      logrus.FieldLogger
	mux      *http.ServeMux
}

// New returns a server. If tokens is nil, the server rejects every request.
func New(sources Sources, tokens *Tokens, recorder timeline.Recorder, log logrus.FieldLogger) *Server {
	s := &Server{sources: sources, tokens: tokens, recorder: recorder, log: log, mux: http.NewServeMux()}
	byPath := make(map[string][]route)
	for _, r := range s.routes() {
		byPath[r.path] = append(byPath[r.path], r)
	}
	for path, routes := range byPath {
		s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) { s.serveRoutes(w, r, routes) })
	}
	s.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		outcome.New(KindNotFound, http.StatusNotFound, outcome.NotExecuted, "no such path; api/openapi.json lists all").Write(w)
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// route is the handler of one method of one path, with the role that it requires.
type route struct {
	method string
	path   string
	role   Role
	handle func(c *authRequest) error
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

// authRequest is a request together with the identity of the client.
type authRequest struct {
	w        http.ResponseWriter
	r        *http.Request
	team     string
	identity Identity
}

// serveRoutes dispatches a request to the route of its method. It authenticates the client before it checks the method,
// so that an unauthorized one learns nothing about a team.
func (s *Server) serveRoutes(w http.ResponseWriter, r *http.Request, routes []route) {
	w.Header().Set("Cache-Control", "no-store")
	c := &authRequest{w: w, r: r, team: r.PathValue("team")}
	if problem := s.authenticate(c); problem != nil {
		s.audit(eventDenied, c, problem.Detail)
		problem.Write(w)
		return
	}
	index := slices.IndexFunc(routes, func(route route) bool { return route.matchesMethod(r.Method) })
	if index < 0 {
		w.Header().Set("Allow", allowedMethods(routes))
		outcome.New(KindMethodNotAllowed, http.StatusMethodNotAllowed, outcome.NotExecuted, "use "+allowedMethods(routes)).Write(w)
		return
	}
	if !c.identity.Role.includes(routes[index].role) {
		problem := outcome.New(KindForbidden, http.StatusForbidden, outcome.NotExecuted,
			"the token has the role "+string(c.identity.Role)+"; use one with the role "+string(routes[index].role))
		s.audit(eventDenied, c, problem.Detail)
		problem.Write(w)
		return
	}
	if err := routes[index].handle(c); err != nil {
		s.writeError(c, err)
	}
}

func (r route) matchesMethod(method string) bool {
	return method == r.method || method == http.MethodHead && r.method == http.MethodGet
}

func allowedMethods(routes []route) string {
	methods := make([]string, len(routes))
	for i, route := range routes {
		methods[i] = route.method
	}
	return strings.Join(methods, ", ")
}

// authenticate identifies the client by its bearer token. A token of another team gets the same response whether or
// not the requested team exists.
func (s *Server) authenticate(c *authRequest) *outcome.Problem {
	token, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	identity, known := s.tokens.Lookup(token)
	if !ok || !known {
		c.w.Header().Set("WWW-Authenticate", authenticateChallenge)
		return outcome.New(KindUnauthorized, http.StatusUnauthorized, outcome.NotExecuted,
			"send a valid token as Authorization: Bearer TOKEN")
	}
	c.identity = identity
	if identity.Team != c.team {
		return outcome.New(KindForbidden, http.StatusForbidden, outcome.NotExecuted, "the token belongs to another team")
	}
	return nil
}

// writeError sends the problem for an error, logs internal errors and records refused writes in the timeline.
func (s *Server) writeError(c *authRequest, err error) {
	problem := problemFor(err)
	if problem.Status == http.StatusInternalServerError {
		s.log.WithError(err).Errorf("admin: %s %s failed", c.r.Method, c.r.URL.Path)
	}
	if c.isWrite() {
		s.audit(eventRefused, c, problem.Error())
	}
	problem.Write(c.w)
}

func (c *authRequest) isWrite() bool {
	return c.r.Method != http.MethodGet && c.r.Method != http.MethodHead
}

// writeJSON sends a JSON document as the response.
func (c *authRequest) writeJSON(status int, document any) error {
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	// The status line has already been sent; a failed write only means that the client has disconnected.
	_ = json.NewEncoder(c.w).Encode(document)
	return nil
}
