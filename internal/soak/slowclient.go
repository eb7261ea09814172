package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

const (
	slowService = "slow"
	slowPath    = "/slow/"
	// slowTimeout is the deadline of requests for the slow service.
	slowTimeout = 8 * time.Second
	// dialTimeout limits connecting to a gateway. A client waits for retryInterval before it tries the next one.
	dialTimeout   = time.Second
	retryInterval = 100 * time.Millisecond
)

// slowPaths are the requests that a client sends at once. The answers to the later ones wait for the first.
var slowPaths = []string{"draft" + standin.LongSuffix, "draft", "draft"}

// slowClient sends several requests at once over a connection, until the gateway closes it.
type slowClient struct {
	checker  *Checker
	counts   *counts
	gateways []*gateway
	next     int
}

// run sends requests until the context is done.
func (c *slowClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		g := c.gateways[c.next%len(c.gateways)]
		c.next++
		conn, err := net.DialTimeout("tcp4", g.clientAddr, dialTimeout)
		if err != nil {
			time.Sleep(retryInterval)
			continue
		}
		c.use(ctx, g, conn)
	}
}

// use sends requests over a connection until it ends, or the context is done.
func (c *slowClient) use(ctx context.Context, g *gateway, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		if !c.exchange(g, conn, reader) {
			return
		}
	}
}

// exchange sends requests and reads their responses. It reports whether the connection can be used again.
func (c *slowClient) exchange(g *gateway, conn net.Conn, reader *bufio.Reader) bool {
	sentAt := time.Now()
	if err := conn.SetDeadline(sentAt.Add(slowTimeout)); err != nil {
		return false
	}
	var ids []string
	for _, path := range slowPaths {
		id := fmt.Sprintf("r%d", c.counts.lastID.Add(1))
		ids = append(ids, id)
		c.checker.RecordRequest(id, g.name, false, 0)
		c.counts.sent.Add(1)
		// An error also makes the read of the response fail.
		_, _ = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", slowPath, path, testHost,
			platform.HeaderRequestID, id, platform.HeaderDeadline, slowTimeout.Milliseconds())
	}
	for i, id := range ids {
		response, body, err := readResponse(reader)
		if err != nil {
			c.noAnswers(ids[i:], sentAt, i > 0)
			return false
		}
		recordResponse(c.checker, c.counts, id, response, body)
		if response.Header.Get(platform.HeaderSignature) == "" {
			c.checker.RecordNoAnswer(id, sentAt, response.StatusCode, i > 0, slowTimeout)
		}
		if response.Close {
			c.noAnswers(ids[i+1:], sentAt, true)
			return false
		}
	}
	return true
}

// noAnswers records requests whose connection ended. behind is true if the first of them was sent behind another one.
func (c *slowClient) noAnswers(ids []string, sentAt time.Time, behind bool) {
	for i, id := range ids {
		c.counts.failed.Add(1)
		c.checker.RecordNoAnswer(id, sentAt, 0, behind || i > 0, slowTimeout)
	}
}

func readResponse(reader *bufio.Reader) (*http.Response, string, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}
