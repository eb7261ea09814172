package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// requestTimeout is the deadline that a client states in each request. clientTimeout is how long it waits for the
	// response before it closes the connection.
	requestTimeout = 1500 * time.Millisecond
	clientTimeout  = 4 * time.Second
	// thinkTime is the mean pause between two requests of a client.
	thinkTime = 25 * time.Millisecond
	testHost  = "soak.example"
	keyedPath = "/keyed/"
	oncePath  = "/once/"
	// singlePath leads to a service with one server, to which requests are sent again that it refused. One in singleInterval
	// requests that must be executed at most once goes there.
	singlePath     = "/single/"
	singleInterval = 6
	// One in uploadInterval requests that must be executed at most once has a long body, of up to maxUploadBytes. One in
	// longUploadInterval of these has longUploadBytes, and one has mediumUploadBytes.
	uploadInterval     = 8
	maxUploadBytes     = 90_000
	longUploadInterval = 8
	longUploadBytes    = 8 << 20
	mediumUploadBytes  = 3 << 20
	// chunkedBytes is the length of a body from which on it may be sent in chunks.
	chunkedBytes = 1 << 10
)

// counts is the number of requests of all clients by outcome.
type counts struct {
	sent, served, refused, failed atomic.Int64
	lastID                        atomic.Int64
}

// client sends one request after another over a persistent connection. When a request fails, it switches to the next
// gateway.
type client struct {
	checker      *Checker
	counts       *counts
	gateways     []*gateway
	random       *rand.Rand
	gatewayIndex int
}

// run sends requests until the context is done.
func (c *client) run(ctx context.Context) {
	httpClient := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: clientTimeout}
	defer httpClient.CloseIdleConnections()
	for ctx.Err() == nil {
		if !c.send(httpClient) {
			httpClient.CloseIdleConnections()
			c.gatewayIndex++
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
	}
}

// send sends a request and reports whether the connection can be reused.
func (c *client) send(httpClient *http.Client) bool {
	request, id, err := c.newRequest()
	if err != nil {
		return false
	}
	c.counts.sent.Add(1)
	sentAt := time.Now()
	response, err := httpClient.Do(request)
	if err != nil {
		// The request may have crossed the end of an idle connection, so it counts only if it was executed.
		c.checker.RecordNoAnswer(id, sentAt, 0, true, requestTimeout)
		c.counts.failed.Add(1)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.checker.RecordNoAnswer(id, sentAt, 0, true, requestTimeout)
		c.counts.failed.Add(1)
		return false
	}
	recordResponse(c.checker, c.counts, id, response, string(body))
	if response.Header.Get(platform.HeaderSignature) == "" {
		c.checker.RecordNoAnswer(id, sentAt, response.StatusCode, false, requestTimeout)
	}
	return true
}

// recordResponse counts and checks a response.
func recordResponse(checker *Checker, total *counts, id string, response *http.Response, body string) {
	switch {
	case response.StatusCode == http.StatusOK:
		total.served.Add(1)
		checker.CheckResponse(id, response.Header.Get(platform.HeaderRequestID), response.Header.Get(platform.HeaderSignature), body)
	case outcome.PromisesNotExecuted(response.StatusCode):
		total.refused.Add(1)
		checker.RecordRefusal(id)
	default:
		total.failed.Add(1)
	}
}

// newRequest returns a random request and its ID: either an idempotent request for a key, or a request that must be
// executed at most once.
func (c *client) newRequest() (*http.Request, string, error) {
	atMostOnce := c.random.IntN(2) == 0
	id := fmt.Sprintf("r%d", c.counts.lastID.Add(1))
	gateway := c.gateways[c.gatewayIndex%len(c.gateways)]
	baseURL := "http://" + gateway.clientAddr
	if atMostOnce {
		body := "order " + id + strings.Repeat(".", c.uploadBytes())
		path := oncePath
		if c.random.IntN(singleInterval) == 0 {
			path = singlePath
		}
		c.checker.RecordRequest(id, gateway.name, atMostOnce, int64(len(body)))
		request, err := http.NewRequest(http.MethodPost, baseURL+path, c.bodyReader(body))
		if err != nil {
			return nil, "", err
		}
		// Without GetBody, http.Transport cannot replay the request on another connection.
		request.GetBody = nil
		c.setHeaders(request, id)
		return request, id, nil
	}
	c.checker.RecordRequest(id, gateway.name, atMostOnce, 0)
	request, err := http.NewRequest(http.MethodGet, baseURL+keyedPath, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	request.Header.Set(platform.HeaderShardKey, strconv.Itoa(c.random.IntN(platform.KeyCount)))
	c.setHeaders(request, id)
	return request, id, nil
}

// uploadBytes returns the length of the body of a request beyond its beginning.
func (c *client) uploadBytes() int {
	if c.random.IntN(uploadInterval) != 0 {
		return 0
	}
	switch c.random.IntN(longUploadInterval) {
	case 0:
		return longUploadBytes
	case 1:
		return mediumUploadBytes
	default:
		return c.random.IntN(maxUploadBytes)
	}
}

// bodyReader returns a reader of a body. A long one is sent in chunks half of the time: http.Request does not learn its length.
func (c *client) bodyReader(body string) io.Reader {
	reader := strings.NewReader(body)
	if len(body) < chunkedBytes || c.random.IntN(2) == 0 {
		return reader
	}
	return struct{ io.Reader }{reader}
}

func (c *client) setHeaders(request *http.Request, id string) {
	request.Host = testHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
}
