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

	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// patience is how long a caller waits, and longestAnswer how long it keeps the connection beyond that.
	patience      = 1500 * time.Millisecond
	longestAnswer = 4 * time.Second
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 25 * time.Millisecond
	testHost  = "soak.example"
	keyedPath = "/keyed/"
	oncePath  = "/once/"
)

// counts are the requests of all callers by their outcome.
type counts struct {
	asked, served, refused, failed atomic.Int64
	next                           atomic.Int64
}

// caller sends one request after another over a kept connection, and goes to the next gateway when that fails.
type caller struct {
	ledger   *Checker
	counts   *counts
	gateways []*gateway
	random   *rand.Rand
	at       int
}

// run sends requests until the context is done.
func (c *caller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: longestAnswer}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if !c.send(client) {
			client.CloseIdleConnections()
			c.at++
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
	}
}

// send sends a request and reports whether the connection may be used again.
func (c *caller) send(client *http.Client) bool {
	request, id, err := c.request()
	if err != nil {
		return false
	}
	c.counts.asked.Add(1)
	response, err := client.Do(request)
	if err != nil {
		c.counts.failed.Add(1)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.counts.failed.Add(1)
		return false
	}
	switch response.StatusCode {
	case http.StatusOK:
		c.counts.served.Add(1)
		c.ledger.CheckResponse(id, response.Header.Get(platform.HeaderRequestID), response.Header.Get(platform.HeaderSignature), string(body))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.counts.refused.Add(1)
		c.ledger.RecordRefusal(id)
	default:
		c.counts.failed.Add(1)
	}
	return true
}

// request makes the next request: one for a key that may be repeated, or one that may run once.
func (c *caller) request() (*http.Request, string, error) {
	once := c.random.IntN(2) == 0
	id := fmt.Sprintf("r%d", c.counts.next.Add(1))
	c.ledger.RecordRequest(id, once)
	base := "http://" + c.gateways[c.at%len(c.gateways)].callers
	if once {
		request, err := http.NewRequest(http.MethodPost, base+oncePath, strings.NewReader("order "+id))
		if err != nil {
			return nil, "", err
		}
		// The transport must not send it again by itself.
		request.GetBody = nil
		c.steer(request, id)
		return request, id, nil
	}
	request, err := http.NewRequest(http.MethodGet, base+keyedPath, http.NoBody)
	if err != nil {
		return nil, "", err
	}
	request.Header.Set(platform.HeaderShardKey, strconv.Itoa(c.random.IntN(platform.KeyCount)))
	c.steer(request, id)
	return request, id, nil
}

func (c *caller) steer(request *http.Request, id string) {
	request.Host = testHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
}
