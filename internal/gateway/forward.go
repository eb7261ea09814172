package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// forward sends the call to another gateway and reads the head of the answer.
func (g *Gateway) forward(ctx context.Context, v *View, c *call, t target) (*backend.Response, *outcome.Problem) {
	conn, err := g.options.Peers.AcquireStream(ctx, v.hosts[t.host].PeerAddress)
	if err != nil {
		g.lostHost(c, t)
		return nil, refusal(outcome.KindNoHome, "the gateway "+t.host+" cannot be reached")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Stream.SetDeadline(soon()) })
	head, problem := exchange(conn, c, t)
	if problem != nil {
		return nil, g.hopProblem(ctx, c, t, problem)
	}
	if head.Problem != nil {
		if stop() {
			conn.Release()
		} else {
			conn.Discard()
		}
		return nil, g.hopProblem(ctx, c, t, fromWireProblem(head.Problem))
	}
	c.load = head.LoadPercent
	if head.Home != "" {
		g.learn(c, head.Home)
	}
	body := &hopBody{call: c.request.ID, conn: conn, stop: stop}
	return &backend.Response{
		Status:        int(head.Status),
		Header:        fromWireHeader(head.Headers),
		Body:          body,
		ContentLength: head.ContentLength,
	}, nil
}

// exchange writes the request and reads the head of the answer. The stream is closed after a failure.
func exchange(conn *peer.ClientStream, c *call, t target) (*wire.ResponseHead, *outcome.Problem) {
	if err := writeRequest(conn.Stream, c, t); err != nil {
		conn.Discard()
		return nil, brokenHop()
	}
	head := &wire.ResponseHead{}
	if err := wire.ReadMessage(conn.Reader, wire.FrameResponseHead, head); err != nil {
		conn.Discard()
		return nil, brokenHop()
	}
	if string(head.RequestId) != string(c.request.ID[:]) {
		conn.Discard()
		return nil, outcome.New(outcome.KindBadResponse, http.StatusBadGateway, outcome.Unknown,
			"a gateway answered another request; the outcome is unknown")
	}
	return head, nil
}

// writeRequest sends head, body and end with as few writes as possible.
func writeRequest(stream io.Writer, c *call, t target) error {
	scratch := buffers.Get().(*[]byte)
	defer buffers.Put(scratch)
	buffer, err := wire.AppendMessage((*scratch)[:0], wire.FrameRequestHead, toWireHead(c, t))
	if err != nil {
		return err
	}
	for rest := c.body; len(rest) > 0; {
		n := min(len(rest), wire.MaxBodyFrameBytes)
		buffer = wire.AppendFrame(buffer, wire.FrameBody, rest[:n])
		rest = rest[n:]
	}
	end := &wire.End{RequestId: c.request.ID[:], TotalBytes: int64(len(c.body))}
	if buffer, err = wire.AppendMessage(buffer, wire.FrameEnd, end); err != nil {
		return err
	}
	*scratch = keepSmall(buffer)
	_, err = stream.Write(buffer)
	return err
}

func brokenHop() *outcome.Problem {
	return outcome.New(outcome.KindConnectionLost, http.StatusBadGateway, outcome.Unknown,
		"the connection to the home of the backend server broke; the outcome is unknown")
}

// hopProblem turns a failure of the hop into the answer for the caller.
func (g *Gateway) hopProblem(ctx context.Context, c *call, t target, p *outcome.Problem) *outcome.Problem {
	if p.Kind == outcome.KindConnectionLost && ctx.Err() != nil {
		return outcome.New(outcome.KindTimeout, http.StatusGatewayTimeout, outcome.Unknown,
			"the deadline passed while the request was at another gateway; the outcome is unknown")
	}
	if p.Kind == outcome.KindConnectionLost || p.Kind == outcome.KindNoConfig {
		g.lostHost(c, t)
	} else {
		g.forgetHint(c)
	}
	return p
}

// lostHost forgets a hint that led nowhere, and avoids the host for a while.
func (g *Gateway) lostHost(c *call, t target) {
	g.suspects.add(t.host, time.Now())
	g.forgetHint(c)
}

func (g *Gateway) forgetHint(c *call) {
	if c.route.Keyed {
		partition, _ := c.route.partition(c.request.Key)
		c.route.hints.clear(partition)
	}
}

func (g *Gateway) learn(c *call, home string) {
	c.home = home
	if c.route.Keyed {
		partition, _ := c.route.partition(c.request.Key)
		c.route.hints.set(partition, home)
	}
}
