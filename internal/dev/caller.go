package dev

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/standin"
)

// Caller sends requests to the gateways that the balancer chooses and records the results.
type Caller struct {
	client   *http.Client
	balancer *Balancer
	records  *RecordLog
	// route chooses the gateway of a request. If it is nil, the balancer does.
	route RouteFunc
}

const (
	// maxIdleConnsPerGateway is the maximum number of idle connections to each gateway.
	maxIdleConnsPerGateway = 512
	// clientTimeoutMargin is the time by which the timeout of the HTTP client exceeds that of the request.
	clientTimeoutMargin = time.Second
)

// NewCaller returns a caller that adds its results to records.
func NewCaller(balancer *Balancer, records *RecordLog) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerGateway, DisableCompression: true}
	return &Caller{client: &http.Client{Transport: transport}, balancer: balancer, records: records}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// request describes one request of a caller.
type request struct {
	service    string
	key        string
	subscriber string
	identity   string
	operation  operation
	idempotent bool
	timeout    time.Duration
}

// Send sends one request and records the result.
func (c *Caller) Send(ctx context.Context, req request) {
	record := Record{Service: req.service, Key: req.key, Subscriber: req.subscriber, Identity: req.identity,
		Idempotent: req.idempotent, Gateway: c.chooseGateway(req), Start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, req.timeout+clientTimeoutMargin)
	defer cancel()
	var headersWritten atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }})
	response, err := c.client.Do(c.newHTTPRequest(ctx, record.Gateway, req))
	if err != nil {
		record.Result, record.Kind = failedCallResult(headersWritten.Load()), "connection"
	} else {
		recordResponse(&record, response)
	}
	record.Latency = time.Since(record.Start)
	c.records.Add(record)
}

// chooseGateway returns the caller address of the gateway to which the request is sent.
func (c *Caller) chooseGateway(req request) string {
	if c.route != nil {
		if address, ok := c.route(req.service, req.key); ok {
			return address
		}
	}
	return c.balancer.Pick()
}

// opaqueReader hides the type of a body from net/http. Without the type the transport cannot rewind the body, so it does
// not send it again.
type opaqueReader struct{ io.Reader }

func (c *Caller) newHTTPRequest(ctx context.Context, address string, req request) *http.Request {
	url := "http://" + address + "/v1/" + req.service + req.operation.path
	var body io.Reader
	if !req.idempotent {
		body = opaqueReader{strings.NewReader("x")}
	}
	// The method and the URL are valid, so there is no error.
	r, _ := http.NewRequestWithContext(ctx, req.operation.method, url, body)
	if !req.idempotent {
		r.ContentLength = 1
	}
	r.Header.Set(gateway.HeaderSubscriber, req.subscriber)
	r.Header.Set(gateway.HeaderKey, req.key)
	// net/http retries requests that have an Idempotency-Key header. It does not recognize the header under a map key in
	// lower case.
	r.Header["idempotency-key"] = []string{req.identity}
	r.Header.Set(gateway.HeaderAttempt, "1")
	r.Header.Set(gateway.HeaderTimeout, millis(req.timeout))
	return r
}

// failedCallResult returns the result of a call that ended with a transport error. The transport may have retried an
// idempotent request, so the last error alone does not show whether anything was sent.
func failedCallResult(headersWritten bool) Result {
	if headersWritten {
		return ResultUnknown
	}
	return ResultNotExecuted
}

func recordResponse(record *Record, response *http.Response) {
	defer response.Body.Close()
	record.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		record.Result = ResultTruncated
	case response.Header.Get("Content-Type") == outcome.ContentType:
		recordProblem(record, body)
	default:
		record.Result = ResultAnswered
		record.Mismatched = response.Header.Get(standin.HeaderIdentityEcho) != record.Identity
	}
}

type problemDocument struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

func recordProblem(record *Record, body []byte) {
	var p problemDocument
	record.Result = ResultUnknown
	if err := json.Unmarshal(body, &p); err != nil {
		return
	}
	record.Kind = p.Type[strings.LastIndex(p.Type, ":")+1:]
	if p.Outcome == outcome.NotExecuted.String() {
		record.Result = ResultNotExecuted
	}
}
