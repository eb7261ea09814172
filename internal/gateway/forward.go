package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
	"github.com/sapphireplank/sapphireplank/internal/httpstatus"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// forward sends the request to another gateway and reads the head of the response.
func (g *Gateway) forward(ctx context.Context, table *RoutingTable, c *call, t target) (*backend.Response, *outcome.Problem) {
	conn, err := g.options.Peers.AcquireStream(ctx, table.hosts[t.host].PeerAddress)
	if err != nil {
		g.markUnreachable(c, t)
		return nil, unavailable(outcome.KindNoHome, "the gateway "+t.host+" cannot be reached")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Stream.SetDeadline(abortDeadline()) })
	head, problem := roundTrip(conn, c, t)
	if problem != nil {
		return nil, g.handleForwardFailure(ctx, c, t, problem)
	}
	if head.Problem != nil {
		if stop() {
			conn.Release()
		} else {
			conn.Discard()
		}
		return nil, g.handleForwardFailure(ctx, c, t, fromWireProblem(head.Problem))
	}
	c.loadPercent = head.LoadPercent
	if head.Home != "" {
		g.cacheHome(c, head.Home)
	}
	body := &peerResponseBody{requestID: c.request.ID, conn: conn, stop: stop}
	return &backend.Response{
		Status:        int(head.Status),
		Header:        fromWireHeader(head.Headers),
		Body:          body,
		ContentLength: head.ContentLength,
	}, nil
}

// roundTrip writes the request and reads the head of the response. It discards the connection on failure.
func roundTrip(conn *peer.ClientStream, c *call, t target) (*wire.ResponseHead, *outcome.Problem) {
	if err := writeRequest(conn.Stream, c, t); err != nil {
		conn.Discard()
		return nil, connectionLost()
	}
	head := &wire.ResponseHead{}
	if err := wire.ReadMessage(conn.Reader, wire.FrameResponseHead, head); err != nil {
		conn.Discard()
		return nil, connectionLost()
	}
	if problem := checkResponseHead(head, c.request.ID[:]); problem != nil {
		conn.Discard()
		return nil, problem
	}
	return head, nil
}

// lengthUnknown is the length of a body that only the End frame states.
const lengthUnknown = -1

// checkResponseHead returns a problem if the head of a response belongs to another request, or is one that no response has.
func checkResponseHead(head *wire.ResponseHead, requestID []byte) *outcome.Problem {
	switch {
	case string(head.RequestId) != string(requestID):
		return badPeerResponse("a gateway answered another request")
	case head.Problem != nil:
		return nil
	case !httpstatus.IsFinal(int(head.Status)):
		return badPeerResponse(fmt.Sprintf("a gateway answered with the status %03d, which ends no exchange", head.Status))
	case head.ContentLength < lengthUnknown:
		return badPeerResponse("a gateway answered with a negative length")
	}
	if err := httpcheck.Fields(fromWireHeader(head.Headers)); err != nil {
		return badPeerResponse("a gateway answered with a field that no response has")
	}
	return nil
}

func badPeerResponse(detail string) *outcome.Problem {
	return outcome.New(outcome.KindBadResponse, http.StatusBadGateway, outcome.Unknown, detail+"; the outcome is unknown")
}

// writeRequest encodes head, body and end of the request and sends them in a single write.
func writeRequest(stream io.Writer, c *call, t target) error {
	pooled := messageBuffers.Get().(*[]byte)
	defer messageBuffers.Put(pooled)
	buffer, err := wire.AppendMessage((*pooled)[:0], wire.FrameRequestHead, toWireRequestHead(c, t))
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
	*pooled = reusableBuffer(buffer)
	_, err = stream.Write(buffer)
	return err
}

func connectionLost() *outcome.Problem {
	return outcome.New(outcome.KindConnectionLost, http.StatusBadGateway, outcome.Unknown,
		"the connection to the home of the backend server broke; the outcome is unknown")
}

// handleForwardFailure updates the routing caches after a failed forward and returns the problem to report.
func (g *Gateway) handleForwardFailure(ctx context.Context, c *call, t target, p *outcome.Problem) *outcome.Problem {
	if p.Kind == outcome.KindConnectionLost && ctx.Err() != nil {
		return outcome.New(outcome.KindTimeout, http.StatusGatewayTimeout, outcome.Unknown,
			"the deadline passed while the request was at another gateway; the outcome is unknown")
	}
	if p.Kind == outcome.KindConnectionLost || p.Kind == outcome.KindNoConfig {
		g.markUnreachable(c, t)
	} else {
		g.invalidateCachedHome(c)
	}
	return p
}

// markUnreachable excludes the host from routing for unreachableTTL and drops the cached home gateway.
func (g *Gateway) markUnreachable(c *call, t target) {
	g.unreachable.add(t.host, time.Now())
	g.invalidateCachedHome(c)
}

func (g *Gateway) invalidateCachedHome(c *call) {
	if c.route.Keyed {
		partition, _ := c.route.partition(c.request.Key)
		c.route.homes.invalidate(partition)
	}
}

func (g *Gateway) cacheHome(c *call, home string) {
	c.home = home
	if c.route.Keyed {
		partition, _ := c.route.partition(c.request.Key)
		c.route.homes.set(partition, home)
	}
}
