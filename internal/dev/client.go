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

// Client sends requests to the gateways that the balancer chooses and records their outcomes.
type Client struct {
	httpClient *http.Client
	balancer   *Balancer
	records    *RecordLog
	// route chooses the gateway of a request. If it is nil, the balancer does.
	route RouteFunc
}

const (
	// maxIdleConnsPerGateway is the maximum number of idle connections to each gateway.
	maxIdleConnsPerGateway = 512
	// clientTimeoutMargin is the time by which the timeout of the HTTP client exceeds that of the request.
	clientTimeoutMargin = time.Second
)

// NewClient returns a client that adds a record of each request to records.
func NewClient(balancer *Balancer, records *RecordLog) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerGateway, DisableCompression: true}
	return &Client{httpClient: &http.Client{Transport: transport}, balancer: balancer, records: records}
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// request describes one request of a client.
type request struct {
	service    string
	key        string
	subscriber string
	identity   string
	operation  operation
	idempotent bool
	timeout    time.Duration
}

// Send sends one request and records its outcome.
func (c *Client) Send(ctx context.Context, req request) {
	record := Record{Service: req.service, Key: req.key, Subscriber: req.subscriber, Identity: req.identity,
		Idempotent: req.idempotent, Gateway: c.chooseGateway(req), Start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, req.timeout+clientTimeoutMargin)
	defer cancel()
	var headersWritten atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }})
	response, err := c.httpClient.Do(c.newHTTPRequest(ctx, record.Gateway, req))
	if err != nil {
		record.Outcome, record.Kind = failedCallOutcome(headersWritten.Load()), "connection"
	} else {
		recordResponse(&record, response)
	}
	record.Latency = time.Since(record.Start)
	c.records.Add(record)
}

// chooseGateway returns the client address of the gateway to which the request is sent.
func (c *Client) chooseGateway(req request) string {
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

func (c *Client) newHTTPRequest(ctx context.Context, address string, req request) *http.Request {
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

// failedCallOutcome returns the outcome of a request that ended with a transport error. The transport may have retried an
// idempotent request, so the last error alone does not show whether anything was sent.
func failedCallOutcome(headersWritten bool) Outcome {
	if headersWritten {
		return OutcomeUnknown
	}
	return OutcomeNotExecuted
}

func recordResponse(record *Record, response *http.Response) {
	defer response.Body.Close()
	record.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		record.Outcome = OutcomeTruncated
	case response.Header.Get("Content-Type") == outcome.ContentType:
		recordProblem(record, body)
	default:
		record.Outcome = OutcomeAnswered
		record.Mismatched = response.Header.Get(standin.HeaderIdentityEcho) != record.Identity
	}
}

type problemDocument struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

func recordProblem(record *Record, body []byte) {
	var p problemDocument
	record.Outcome = OutcomeUnknown
	if err := json.Unmarshal(body, &p); err != nil {
		return
	}
	record.Kind = p.Type[strings.LastIndex(p.Type, ":")+1:]
	if p.Outcome == outcome.NotExecuted.String() {
		record.Outcome = OutcomeNotExecuted
	}
}
