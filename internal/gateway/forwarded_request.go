package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/peer"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// HandleRequest serves one request forwarded by another gateway. It reports whether the stream can be used for another
// request.
func (g *Gateway) HandleRequest(head []byte, stream *peer.ServerStream) bool {
	c, ok := g.readForwardedRequest(head, stream)
	if !ok {
		return false
	}
	c.request.Deadline = forwardedDeadline(c.request.Deadline, time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), c.request.Deadline)
	defer cancel()
	watcher := watchCancel(stream, cancel)
	if !g.serveForwarded(ctx, c, stream) {
		// The deadline ends the watcher's read; the sending gateway then sees the stream close.
		_ = stream.Stream.SetReadDeadline(abortDeadline())
		<-watcher
		return false
	}
	return <-watcher
}

// forwardedDeadline returns the deadline for executing a forwarded request. It is earlier than that of the sending
// gateway, because a refusal that arrives after the sender's deadline would be reported with the outcome unknown
// instead of not executed.
func forwardedDeadline(deadline, now time.Time) time.Time {
	return deadline.Add(-min(replyTimeReserve, deadline.Sub(now)/replyTimeReserveDivisor))
}

// serveForwarded executes the request and sends the response. It returns false if the response could not be sent
// completely.
func (g *Gateway) serveForwarded(ctx context.Context, c *call, stream *peer.ServerStream) bool {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	response, problem := g.executeForwarded(ctx, c)
	if problem != nil {
		return g.writeForwardedProblem(stream, c, problem)
	}
	return g.writeForwardedResponse(stream, c, response)
}

// readForwardedRequest reads head and body. An incomplete request is dropped without being executed; the sending
// gateway treats its outcome as unknown.
func (g *Gateway) readForwardedRequest(head []byte, stream *peer.ServerStream) (*call, bool) {
	var message wire.RequestHead
	if err := proto.Unmarshal(head, &message); err != nil {
		return nil, false
	}
	c, ok := fromWireRequestHead(&message)
	if !ok || message.ContentLength < 0 || message.ContentLength > MaxBodyBytes {
		return nil, false
	}
	body, err := readForwardedBody(stream, &message)
	if err != nil {
		return nil, false
	}
	c.body = body
	return c, true
}

var errTruncatedRequest = errors.New("forwarded request truncated or malformed; the sending gateway decides about a retry")

func readForwardedBody(stream *peer.ServerStream, head *wire.RequestHead) ([]byte, error) {
	body := make([]byte, 0, min(head.ContentLength, wire.MaxBodyFrameBytes))
	for {
		frameType, payload, err := wire.ReadFrame(stream.Reader, nil)
		if err != nil {
			return nil, err
		}
		switch frameType {
		case wire.FrameBody:
			body = append(body, payload...)
			if int64(len(body)) > head.ContentLength {
				return nil, errTruncatedRequest
			}
		case wire.FrameEnd:
			return body, checkRequestEnd(payload, head, len(body))
		default:
			return nil, errTruncatedRequest
		}
	}
}

func checkRequestEnd(payload []byte, head *wire.RequestHead, size int) error {
	var end wire.End
	if err := proto.Unmarshal(payload, &end); err != nil {
		return err
	}
	if string(end.RequestId) != string(head.RequestId) || end.TotalBytes != int64(size) || head.ContentLength != int64(size) {
		return errTruncatedRequest
	}
	return nil
}

// watchCancel cancels the request if the sending gateway closes the stream early or the session is lost. The channel
// receives one value, which is true if data of the next request has arrived instead. Until then nothing else may read
// from the stream.
func watchCancel(stream *peer.ServerStream, cancel context.CancelFunc) <-chan bool {
	done := make(chan bool, 1)
	go func() {
		_, err := stream.Reader.Peek(1)
		if err != nil {
			cancel()
		}
		done <- err == nil
	}()
	return done
}

func (g *Gateway) executeForwarded(ctx context.Context, c *call) (*backend.Response, *outcome.Problem) {
	table := g.table.Load()
	if table == nil {
		return nil, unavailable(outcome.KindNoConfig, "the gateway has no configuration yet")
	}
	route, ok := table.services[c.request.Service]
	if !ok {
		return nil, outcome.New(outcome.KindNoSuchService, http.StatusNotFound, outcome.NotExecuted,
			"the service is not configured on the home; the configuration is still spreading")
	}
	c.route = route
	return g.attempt(ctx, table, c)
}

func (g *Gateway) writeForwardedProblem(stream *peer.ServerStream, c *call, p *outcome.Problem) bool {
	head := &wire.ResponseHead{RequestId: c.request.ID[:], Problem: toWireProblem(p)}
	// If the write fails, the sending gateway treats the outcome as unknown, which is always safe.
	return wire.WriteMessage(stream.Stream, wire.FrameResponseHead, head) == nil
}

// writeForwardedResponse sends the response. The sending gateway treats a response without an End frame as truncated.
func (g *Gateway) writeForwardedResponse(stream *peer.ServerStream, c *call, response *backend.Response) bool {
	defer response.Body.Close()
	head := &wire.ResponseHead{
		RequestId:     c.request.ID[:],
		Status:        int32(response.Status),
		Headers:       toWireHeader(response.Header),
		Home:          cmp.Or(c.home, g.options.Self),
		ContentLength: response.ContentLength,
		LoadPercent:   c.loadPercent,
	}
	pooled := messageBuffers.Get().(*[]byte)
	defer messageBuffers.Put(pooled)
	buffer, err := wire.AppendMessage((*pooled)[:0], wire.FrameResponseHead, head)
	if err != nil {
		return false
	}
	w := &peerResponseWriter{conn: stream.Stream, requestID: c.request.ID[:], buffer: buffer}
	err = w.send(response.Body)
	*pooled = reusableBuffer(w.buffer)
	return err == nil
}
