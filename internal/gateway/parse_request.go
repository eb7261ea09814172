package gateway

import (
	"crypto/rand"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// call is the state of one request in the gateway.
type call struct {
	request *backend.Request
	route   *serviceRoute
	// body is the complete request body.
	body []byte
	// assignedServer is the backend server that the sending gateway selected, or "".
	assignedServer string
	// hops counts how often the request has been forwarded.
	hops uint32
	// home is the host of the home gateway that sent the response, or "" if it is this host.
	home string
	// loadPercent is the load that the home gateway reported with the response, in percent of the slots.
	loadPercent uint32
	// balancedServer is the backend server that the balancer selected for the current attempt, or "".
	balancedServer string
	// failedServers lists the backend servers on which this request failed before; they are avoided.
	failedServers []string
	// attempts counts the attempts that may have been executed. Attempts known not to have been executed, such as
	// those without an owner or home gateway, do not count.
	attempts int
}

func badRequest(kind outcome.Kind, detail string) *outcome.Problem {
	return outcome.New(kind, http.StatusBadRequest, outcome.NotExecuted, detail)
}

// parseRequest validates a client's request and converts it to a call without its body.
func parseRequest(table *RoutingTable, r *http.Request, now time.Time) (*call, *outcome.Problem) {
	service, rest, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		return nil, outcome.New(outcome.KindNoSuchService, http.StatusNotFound, outcome.NotExecuted,
			"the path must be /v1/SERVICE/PATH")
	}
	route, ok := table.services[service]
	if !ok {
		return nil, outcome.New(outcome.KindNoSuchService, http.StatusNotFound, outcome.NotExecuted,
			"service "+strconv.Quote(service)+" is not configured; check the first path segment after /v1/")
	}
	if problem := checkPath(rest, r.URL.RawQuery); problem != nil {
		return nil, problem
	}
	timeout, problem := parseTimeout(r.Header.Get(HeaderTimeout))
	if problem != nil {
		return nil, problem
	}
	c := &call{route: route, request: &backend.Request{
		ID:            newRequestID(),
		Service:       service,
		Key:           r.Header.Get(HeaderKey),
		Subscriber:    r.Header.Get(HeaderSubscriber),
		Identity:      r.Header.Get(HeaderIdempotencyKey),
		FirstAttempt:  r.Header.Get(HeaderAttempt) == firstAttempt,
		Method:        r.Method,
		Path:          withQuery(rest, r.URL.RawQuery),
		Header:        r.Header,
		ContentLength: r.ContentLength,
		Deadline:      now.Add(timeout),
		Idempotent:    route.IsIdempotent(r.Method, rest),
	}}
	return c, checkHeaders(c.request, route.Keyed)
}

func splitPath(p string) (service, rest string, ok bool) {
	after, ok := strings.CutPrefix(p, pathPrefix)
	if !ok {
		return "", "", false
	}
	service, rest, _ = strings.Cut(after, "/")
	return service, "/" + rest, service != ""
}

// checkPath refuses paths that a backend server could interpret differently from the idempotency rules.
func checkPath(p, query string) *outcome.Problem {
	if len(p)+len(query) > maxPathBytes {
		return outcome.New(outcome.KindTooLarge, http.StatusRequestURITooLong, outcome.NotExecuted,
			"path and query exceed 8 KB; move data into the body")
	}
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if clean != p || strings.Contains(p, "%2F") || strings.Contains(p, "%2f") || strings.Contains(p, "%2e") || strings.Contains(p, "%2E") {
		return badRequest(outcome.KindBadRequest, "the path is not in its shortest form; remove empty, dot and escaped segments")
	}
	return nil
}

func parseTimeout(text string) (time.Duration, *outcome.Problem) {
	if text == "" {
		return DefaultTimeout, nil
	}
	millis, err := strconv.Atoi(text)
	if err != nil || millis <= 0 || millis > int(MaxTimeout/time.Millisecond) {
		return 0, badRequest(outcome.KindBadRequest, HeaderTimeout+" must be a number of milliseconds from 1 to 30000")
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func checkHeaders(r *backend.Request, keyed bool) *outcome.Problem {
	if r.Subscriber == "" {
		return badRequest(outcome.KindMissingHeader, "set "+HeaderSubscriber+" to the subscriber")
	}
	if keyed && r.Key == "" {
		return badRequest(outcome.KindMissingHeader, "service "+r.Service+" is divided by key; set "+HeaderKey)
	}
	if max(len(r.Subscriber), len(r.Key), len(r.Identity)) > maxIdentifierBytes {
		return badRequest(outcome.KindTooLarge, "key, subscriber and request identity are limited to 512 bytes")
	}
	return nil
}

func withQuery(p, query string) string {
	if query == "" {
		return p
	}
	return p + "?" + query
}

func newRequestID() backend.RequestID {
	var id backend.RequestID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}
