package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// fakeSources implements all sources and the timeline recorder in memory. If err is set, every source returns it.
type fakeSources struct {
	current *config.Config
	request accept.Request
	stop    accept.Announcement
	err     error
	events  []timeline.Event
}

func (f *fakeSources) Current(context.Context, string) (*config.Config, error) {
	return f.current, f.err
}
func (f *fakeSources) Accept(_ context.Context, _ string, r accept.Request) (*config.Config, error) {
	f.request = r
	return f.current, f.err
}
func (f *fakeSources) Announce(_ context.Context, _ string, a accept.Announcement) (*config.Config, error) {
	f.stop = a
	return f.current, f.err
}
func (f *fakeSources) Cancel(_ context.Context, _ string, a accept.Announcement) (*config.Config, error) {
	f.stop = a
	return f.current, f.err
}
func (f *fakeSources) Status(context.Context, string) (*Status, error) {
	return &Status{Host: "h1"}, f.err
}
func (f *fakeSources) Owner(_ context.Context, _, service, key string) (*Ownership, error) {
	return &Ownership{Service: service, Key: key}, f.err
}
func (f *fakeSources) StopProgress(context.Context, string) ([]StopProgress, error) {
	return nil, f.err
}
func (f *fakeSources) Explain(_ context.Context, _, request string) (*Explanation, error) {
	return &Explanation{Request: request}, f.err
}
func (f *fakeSources) Record(e timeline.Event) { f.events = append(f.events, e) }

func newServer(t *testing.T, f *fakeSources) *Server {
	var lines strings.Builder
	for _, line := range []string{"anna filtrex operator", "rita filtrex reader", "hiro hinokuni operator"} {
		digest := sha256.Sum256([]byte(strings.Fields(line)[0] + "-secret"))
		fmt.Fprintf(&lines, "# token\n%s %s\n", line, hex.EncodeToString(digest[:]))
	}
	tokens, err := ReadTokens(strings.NewReader(lines.String()))
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(t.Output())
	return New(Sources{Config: f, Status: f, Owners: f, Stops: f, Explain: f}, tokens, f, log)
}

// requestCase is one request with its expected response and audit event.
type requestCase struct {
	name, method, path, token, body, headers string
	err                                      error
	status                                   int
	want                                     string // substring of the response body
	event                                    timeline.Kind
}

const (
	putHeaders = `If-Match:"3" Idempotency-Key:i1`
	teamURL    = "/v1/teams/filtrex"
	stopBody   = `{"target":"h1","at":"2026-12-05T00:00:00Z","for_seconds":60}`
)

var requestCases = []requestCase{
	{name: "read", method: "GET", path: "/config", token: "rita", status: 200, want: `"revision":3`},
	{name: "unchanged", method: "GET", path: "/config", token: "rita", headers: `If-None-Match:"3"`, status: 304},
	{name: "none yet", method: "GET", path: "/config", token: "rita", err: accept.ErrNoConfig, status: 404, want: "plankctl generate"},
	{name: "no token", method: "GET", path: "/config", status: 401, want: "unauthorized", event: eventDenied},
	{name: "wrong token", method: "GET", path: "/config", token: "eve", status: 401, event: eventDenied},
	{name: "other team reads", method: "GET", path: "/config", token: "hiro", status: 403, want: "another team", event: eventDenied},
	{name: "other team writes", method: "PUT", path: "/config", token: "hiro", headers: putHeaders, status: 403, event: eventDenied},
	{name: "other team asks", method: "GET", path: "/owners/tracker/k", token: "hiro", status: 403, event: eventDenied},
	{name: "reader writes", method: "PUT", path: "/config", token: "rita", headers: putHeaders, status: 403, want: "role operator", event: eventDenied},
	{name: "reader stops", method: "POST", path: "/stops", token: "rita", body: stopBody, status: 403, event: eventDenied},
	{name: "wrong method", method: "DELETE", path: "/config", token: "anna", headers: putHeaders, status: 405, want: "GET, PUT"},
	{name: "accept", method: "PUT", path: "/config?change=more&acknowledge=host-moved", token: "anna", headers: putHeaders, body: `{"team":"filtrex"}`, status: 200, event: eventAccepted},
	{name: "first", method: "PUT", path: "/config", token: "anna", headers: `If-None-Match:* Idempotency-Key:i1`, body: `{}`, status: 200, event: eventAccepted},
	{name: "no revision", method: "PUT", path: "/config", token: "anna", headers: `Idempotency-Key:i1`, body: `{}`, status: 428, event: eventRefused},
	{name: "weak tag", method: "PUT", path: "/config", token: "anna", headers: `If-Match:W/"3" Idempotency-Key:i1`, body: `{}`, status: 400, event: eventRefused},
	{name: "no id", method: "PUT", path: "/config", token: "anna", headers: `If-Match:"3"`, body: `{}`, status: 400, want: "draw a random one", event: eventRefused},
	{name: "long id", method: "PUT", path: "/config", token: "anna", headers: `If-Match:"3" Idempotency-Key:` + strings.Repeat("x", 65), body: `{}`, status: 400, event: eventRefused},
	{name: "syntax", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{"x":1}`, status: 400, want: "not a configuration", event: eventRefused},
	{name: "large", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: strings.Repeat(" ", 1<<20+1), status: 413, event: eventRefused},
	{name: "invalid", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{}`, err: config.ValidationErrors{{Section: "team", Remedy: "mend"}}, status: 422, want: "[team]", event: eventRefused},
	{name: "unsafe", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{}`, err: config.Hazards{{Kind: config.HazardFencing}}, status: 422, want: "acknowledge fencing-switched-off", event: eventRefused},
	{name: "conflict", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{}`, err: &accept.Conflict{RefusedChange: "slots 2", AcceptedSince: []config.Accepted{{Change: "slots 3"}}}, status: 412, want: "slots 3); refused was: slots 2", event: eventRefused},
	{name: "reused", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{}`, err: accept.ErrIDReused, status: 409, event: eventRefused},
	{name: "down", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{}`, err: accept.ErrStoreUnavailable, status: 503, want: `"outcome":"not-run"`, event: eventRefused},
	{name: "undecided", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{}`, err: errors.Mark(accept.ErrStoreUnavailable, accept.ErrUndecided), status: 503, want: `"outcome":"unknown"`, event: eventRefused},
	{name: "fault", method: "PUT", path: "/config", token: "anna", headers: putHeaders, body: `{}`, err: errors.New("secret"), status: 500, want: "its log says why", event: eventRefused},
	{name: "stops", method: "GET", path: "/stops", token: "rita", status: 200, want: `"stops":[]`},
	{name: "announce", method: "POST", path: "/stops", token: "anna", headers: putHeaders, body: stopBody, status: 201, event: eventAccepted},
	{name: "bad stop", method: "POST", path: "/stops", token: "anna", headers: putHeaders, body: `{"host":"h1"}`, status: 400, event: eventRefused},
	{name: "no target", method: "POST", path: "/stops", token: "anna", headers: putHeaders, body: stopBody, err: accept.ErrTargetNotFound, status: 404, event: eventRefused},
	{name: "cancel", method: "DELETE", path: "/stops/h1", token: "anna", headers: putHeaders, status: 200, event: eventAccepted},
	{name: "cancel none", method: "DELETE", path: "/stops/h1", token: "anna", headers: putHeaders, err: accept.ErrStopNotFound, status: 404, event: eventRefused},
	{name: "status", method: "GET", path: "/status", token: "rita", status: 200, want: `"host":"h1"`},
	{name: "owner", method: "GET", path: "/owners/tracker/a%2F%2E%2E%2Fb", token: "rita", status: 200, want: `"key":"a/../b"`},
	{name: "dots", method: "GET", path: "/owners/tracker/%2E%2E", token: "rita", status: 200, want: `"key":".."`},
	{name: "no owner", method: "GET", path: "/owners/tracker/k", token: "rita", err: ErrNotFound, status: 404},
	{name: "explain", method: "GET", path: "/explain/0af1", token: "rita", status: 200, want: `"request":"0af1"`},
}

// Guards against unexpected response statuses, writes without an audit event, secrets in responses or audit events,
// access to another team, and statuses that api/openapi.json does not list.
func TestRequests(t *testing.T) {
	api := readOpenAPI(t)
	for _, e := range requestCases {
		f := &fakeSources{current: &config.Config{Team: "filtrex", Revision: 3}, err: e.err}
		server := newServer(t, f)
		request := httptest.NewRequest(e.method, teamURL+e.path, strings.NewReader(e.body))
		if e.token != "" {
			request.Header.Set("Authorization", "Bearer "+e.token+"-secret")
		}
		for _, header := range strings.Fields(e.headers) {
			name, value, _ := strings.Cut(header, ":")
			request.Header.Set(name, value)
		}
		response := httptest.NewRecorder()
		server.ServeHTTP(response, request)
		body := response.Body.String()
		isProblem := strings.HasPrefix(response.Header().Get("Content-Type"), "application/problem+json")
		if response.Code != e.status || !strings.Contains(body, e.want) || isProblem != (e.status >= 400) || strings.Contains(body, "secret") {
			t.Errorf("%s: %d %s", e.name, response.Code, body)
		}
		if (e.event != "") != (len(f.events) == 1) || e.event != "" && f.events[0].Kind != e.event || strings.Contains(fmt.Sprint(f.events), "secret") {
			t.Errorf("%s: events %v", e.name, f.events)
		}
		if e.status == 403 && (f.request.ID != "" || f.stop.ID != "") {
			t.Errorf("%s: refused request reached the source", e.name)
		}
		_, pattern := server.mux.Handler(request)
		if _, ok := api.Paths[pattern][strings.ToLower(e.method)].Responses[fmt.Sprint(e.status)]; !ok && e.status != 405 {
			t.Errorf("%s: openapi.json has no status %d for %s %s", e.name, e.status, e.method, pattern)
		}
	}
}

// Guards against headers and query parameters that are not passed on in the accept request, and against a server
// without tokens that admits requests.
func TestAcceptRequestContainsHeadersAndParameters(t *testing.T) {
	f := &fakeSources{current: &config.Config{Revision: 3}}
	request := httptest.NewRequest("PUT", teamURL+"/config?change=more&acknowledge=host-moved&acknowledge=server-moved", strings.NewReader(`{"team":"filtrex"}`))
	request.Header.Set("Authorization", "Bearer anna-secret")
	request.Header.Set("If-Match", `"3"`)
	request.Header.Set(headerIdempotencyKey, "i1")
	response := httptest.NewRecorder()
	newServer(t, f).ServeHTTP(response, request)
	want := accept.Request{ID: "i1", BaseRevision: 3, Config: &config.Config{Team: "filtrex"}, Operator: "anna", Change: "more",
		Acknowledged: []config.HazardKind{config.HazardHostMoved, config.HazardServerMoved}}
	if !reflect.DeepEqual(f.request, want) || response.Header().Get("ETag") != `"3"` {
		t.Errorf("got %+v, entity tag %s", f.request, response.Header().Get("ETag"))
	}
	response = httptest.NewRecorder()
	New(Sources{}, nil, f, logrus.New()).ServeHTTP(response, request)
	if response.Code != http.StatusUnauthorized {
		t.Errorf("a server without tokens answers %d", response.Code)
	}
}

// Guards against malformed token lines that are accepted, which could lock operators out or admit other clients.
func TestInvalidTokenLinesAreRejected(t *testing.T) {
	digest := strings.Repeat("0", 64)
	for _, line := range []string{"a b reader", "a b admin " + digest, "a b reader 00", "A b reader " + digest, "a B reader " + digest, "a b reader x" + digest[1:]} {
		if _, err := ReadTokens(strings.NewReader(line)); !errors.Is(err, ErrInvalidTokenLine) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

type openAPIDocument struct {
	Paths map[string]map[string]struct {
		Role      string         `json:"x-role"`
		Responses map[string]any `json:"responses"`
	} `json:"paths"`
	Components struct {
		Schemas map[string]struct {
			Properties map[string]any `json:"properties"`
		} `json:"schemas"`
	} `json:"components"`
}

func readOpenAPI(t *testing.T) *openAPIDocument {
	text, err := os.ReadFile("../../api/openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	a := &openAPIDocument{}
	if err := json.Unmarshal(text, a); err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against differences between api/openapi.json and the handlers in paths, methods, roles or schema properties.
func TestOpenAPIMatchesHandlers(t *testing.T) {
	a := readOpenAPI(t)
	var got, want []string
	for path, methods := range a.Paths {
		for method, operation := range methods {
			got = append(got, strings.ToUpper(method)+" "+path+" "+operation.Role)
		}
	}
	for _, r := range newServer(t, &fakeSources{}).routes() {
		want = append(want, r.method+" "+r.path+" "+string(r.role))
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("openapi.json has\n%s\nhandlers have\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	types := []any{config.Config{}, config.Zone{}, config.Host{}, config.Service{}, config.Rule{}, config.Server{}, config.Stop{},
		config.Accepted{}, config.StoredPlacement{}, StopRequest{}, StopList{}, StopProgress{}, Status{}, HostStatus{}, CellStatus{}, ServiceStatus{},
		ServerStatus{}, Ownership{}, Explanation{}, timeline.Event{}}
	for _, value := range types {
		typ := reflect.TypeOf(value)
		properties := a.Components.Schemas[typ.Name()].Properties
		if len(properties) != typ.NumField() {
			t.Errorf("schema %s has %d properties, the type %d", typ.Name(), len(properties), typ.NumField())
		}
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if _, ok := properties[name]; !ok {
				t.Errorf("schema %s lacks %s", typ.Name(), name)
			}
		}
	}
}
