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

// Caller sends requests over the balancer and records what it learns.
type Caller struct {
	client   *http.Client
	balancer *Balancer
	ledger   *Ledger
	// route chooses the gateway of a request; the balancer does if it is nil.
	route Route
}

const (
	// callerConnections is the number of idle connections to each gateway.
	callerConnections = 512
	// callerPatience is added to the timeout of a request before the caller gives up.
	callerPatience = time.Second
)

// NewCaller returns a caller that writes to ledger.
func NewCaller(balancer *Balancer, ledger *Ledger) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: callerConnections, DisableCompression: true}
	return &Caller{client: &http.Client{Transport: transport}, balancer: balancer, ledger: ledger}
}

// Close drops idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// call is one request of a caller.
type call struct {
	service    string
	key        string
	subscriber string
	identity   string
	operation  operation
	idempotent bool
	timeout    time.Duration
}

// Send sends one request and records the result.
func (c *Caller) Send(ctx context.Context, q call) {
	record := Record{Service: q.service, Key: q.key, Subscriber: q.subscriber, Identity: q.identity,
		Idempotent: q.idempotent, Gateway: c.gatewayOf(q), Start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, q.timeout+callerPatience)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	response, err := c.client.Do(c.request(ctx, record.Gateway, q))
	if err != nil {
		record.Result, record.Kind = brokenResult(written.Load()), "connection"
	} else {
		readResult(&record, response)
	}
	record.Took = time.Since(record.Start)
	c.ledger.Add(record)
}

// gatewayOf returns the address of the gateway that takes the request.
func (c *Caller) gatewayOf(q call) string {
	if c.route != nil {
		if address, ok := c.route(q.service, q.key); ok {
			return address
		}
	}
	return c.balancer.Pick()
}

// plainReader hides the type of a body from net/http, so that the caller's own transport never repeats a request.
type plainReader struct{ io.Reader }

func (c *Caller) request(ctx context.Context, address string, q call) *http.Request {
	url := "http://" + address + "/v1/" + q.service + q.operation.path
	var body io.Reader
	if !q.idempotent {
		body = plainReader{strings.NewReader("x")}
	}
	// The method and the address are well formed, so there is no error.
	r, _ := http.NewRequestWithContext(ctx, q.operation.method, url, body)
	if !q.idempotent {
		r.ContentLength = 1
	}
	r.Header.Set(gateway.HeaderSubscriber, q.subscriber)
	r.Header.Set(gateway.HeaderKey, q.key)
	// The map key in lower case keeps the transport from taking the request as one that it may repeat.
	r.Header["idempotency-key"] = []string{q.identity}
	r.Header.Set(gateway.HeaderAttempt, "1")
	r.Header.Set(gateway.HeaderTimeout, millis(q.timeout))
	return r
}

// brokenResult says what a caller knows after a failed call. The transport may have repeated an idempotent
// request, so that the last error alone does not tell whether anything was sent.
func brokenResult(written bool) Result {
	if written {
		return ResultUnknown
	}
	return ResultNotRun
}

func readResult(record *Record, response *http.Response) {
	defer response.Body.Close()
	record.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		record.Result = ResultCut
	case response.Header.Get("Content-Type") == outcome.ContentType:
		readProblem(record, body)
	default:
		record.Result = ResultAnswered
		record.Foreign = response.Header.Get(standin.HeaderIdentityEcho) != record.Identity
	}
}

type problemDocument struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

func readProblem(record *Record, body []byte) {
	var p problemDocument
	record.Result = ResultUnknown
	if err := json.Unmarshal(body, &p); err != nil {
		return
	}
	record.Kind = p.Type[strings.LastIndex(p.Type, ":")+1:]
	if p.Outcome == outcome.NotExecuted.String() {
		record.Result = ResultNotRun
	}
}
