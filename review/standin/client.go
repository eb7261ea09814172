package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
)

const clientHost = "orders.example"

// client sends one request after another over a connection that it keeps.
type client struct {
	world  *world
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// outcome is what a client sees of one attempt. The status is 0 if the connection ended without an answer.
type outcome struct {
	id     string
	status int
	sealed bool
	body   string
	err    error
}

// call is one attempt.
type call struct {
	id, method, path, body string
	// key is the key of the request, or -1.
	key      int
	deadline time.Duration
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("a%07d", lastID.Add(1)) }

// send sends an attempt and waits for its answer.
func (c *client) send(call call) outcome {
	result := outcome{id: call.id}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
		if err != nil {
			result.err = err
			return result
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", call.method, call.path, clientHost,
		platform.HeaderRequestID, call.id, platform.HeaderDeadline, call.deadline.Milliseconds())
	if call.key >= 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", platform.HeaderShardKey, call.key)
	}
	if call.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(call.body))
	}
	text.WriteString("\r\n" + call.body)
	c.world.record.add("client sends %s %s %s to %s", call.id, call.method, call.path, c.addr)
	_ = c.conn.SetDeadline(time.Now().Add(call.deadline + time.Second))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		return c.broken(result, err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: call.method})
	if err != nil {
		return c.broken(result, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return c.broken(result, err)
	}
	result.status, result.sealed, result.body = response.StatusCode, response.Header.Get(platform.HeaderSignature) != "", string(body)
	c.world.record.add("client gets %d for %s (sealed: %v): %s", result.status, call.id, result.sealed, strconv.Quote(result.body))
	if response.Close {
		c.close()
	}
	return result
}

func (c *client) broken(result outcome, err error) outcome {
	c.world.record.add("client gets no answer for %s: %v", result.id, err)
	result.err = err
	c.close()
	return result
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// traffic runs clients until the context is done; each sends to one gateway, and pauses between two requests.
func (w *world) traffic(ctx context.Context, clients int, pause time.Duration, next func(*rand.Rand) call, seen func(outcome)) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			c := &client{world: w, addr: w.gateways[i%len(w.gateways)].front}
			defer c.close()
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for ctx.Err() == nil {
				seen(c.send(next(random)))
				time.Sleep(pause/2 + time.Duration(random.Int64N(int64(pause))))
			}
		})
	}
	return &group
}
