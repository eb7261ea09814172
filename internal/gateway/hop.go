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

// HandleRequest serves one request that another gateway forwarded.
func (g *Gateway) HandleRequest(head []byte, stream *peer.ServerStream) bool {
	c, ok := g.readHop(head, stream)
	if !ok {
		return false
	}
	c.request.Deadline = hopDeadline(c.request.Deadline, time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), c.request.Deadline)
	defer cancel()
	watcher := watchCancel(stream, cancel)
	if !g.serveHop(ctx, c, stream) {
		// An expired deadline ends the watcher; the sender sees the end of the stream.
		_ = stream.Stream.SetReadDeadline(soon())
		<-watcher
		return false
	}
	return <-watcher
}

// hopDeadline is early enough for a refusal to reach the sender before its deadline, which would turn "not run" into an
// unknown outcome.
func hopDeadline(deadline, now time.Time) time.Time {
	return deadline.Add(-min(hopReserve, deadline.Sub(now)/hopReserveShare))
}

// serveHop executes the request and sends the answer. It returns false if the answer is not complete.
func (g *Gateway) serveHop(ctx context.Context, c *call, stream *peer.ServerStream) bool {
	g.active.Add(1)
	defer g.active.Add(-1)
	answer, problem := g.handleHop(ctx, c)
	if problem != nil {
		return g.answerProblem(stream, c, problem)
	}
	return g.answerHop(stream, c, answer)
}

// readHop reads head and body. A request that does not arrive whole is dropped; it has not run, and the
// sender takes the outcome as unknown.
func (g *Gateway) readHop(head []byte, stream *peer.ServerStream) (*call, bool) {
	var message wire.RequestHead
	if err := proto.Unmarshal(head, &message); err != nil {
		return nil, false
	}
	c, ok := fromWireHead(&message)
	if !ok || message.ContentLength < 0 || message.ContentLength > MaxBodyBytes {
		return nil, false
	}
	body, err := readHopBody(stream, &message)
	if err != nil {
		return nil, false
	}
	c.body = body
	return c, true
}

var errHopBody = errors.New("request body was cut between gateways; the sender decides whether to repeat it")

func readHopBody(stream *peer.ServerStream, head *wire.RequestHead) ([]byte, error) {
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
				return nil, errHopBody
			}
		case wire.FrameEnd:
			return body, checkRequestEnd(payload, head, len(body))
		default:
			return nil, errHopBody
		}
	}
}

func checkRequestEnd(payload []byte, head *wire.RequestHead, size int) error {
	var end wire.End
	if err := proto.Unmarshal(payload, &end); err != nil {
		return err
	}
	if string(end.RequestId) != string(head.RequestId) || end.TotalBytes != int64(size) || head.ContentLength != int64(size) {
		return errHopBody
	}
	return nil
}

// watchCancel cancels the request when the sender closes the stream early or the session breaks. The channel tells,
// once, whether the next request has begun to arrive instead. Until then nobody else may read from the stream.
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

func (g *Gateway) handleHop(ctx context.Context, c *call) (*backend.Response, *outcome.Problem) {
	v := g.view.Load()
	if v == nil {
		return nil, refusal(outcome.KindNoConfig, "the gateway has no configuration yet")
	}
	route, ok := v.services[c.request.Service]
	if !ok {
		return nil, outcome.New(outcome.KindNoSuchService, http.StatusNotFound, outcome.NotExecuted,
			"the service is not configured on the home; the configuration is still spreading")
	}
	c.route = route
	return g.attempt(ctx, v, c)
}

func (g *Gateway) answerProblem(stream *peer.ServerStream, c *call, p *outcome.Problem) bool {
	head := &wire.ResponseHead{RequestId: c.request.ID[:], Problem: toWireProblem(p)}
	// A failed write leaves the sender with an unknown outcome, which is always safe.
	return wire.WriteMessage(stream.Stream, wire.FrameResponseHead, head) == nil
}

// answerHop sends the answer. Without the End frame the sender takes it as cut.
func (g *Gateway) answerHop(stream *peer.ServerStream, c *call, answer *backend.Response) bool {
	defer answer.Body.Close()
	head := &wire.ResponseHead{
		RequestId:     c.request.ID[:],
		Status:        int32(answer.Status),
		Headers:       toWireHeader(answer.Header),
		Home:          cmp.Or(c.home, g.options.Self),
		ContentLength: answer.ContentLength,
		LoadPercent:   c.load,
	}
	scratch := buffers.Get().(*[]byte)
	defer buffers.Put(scratch)
	buffer, err := wire.AppendMessage((*scratch)[:0], wire.FrameResponseHead, head)
	if err != nil {
		return false
	}
	w := &hopWriter{conn: stream.Stream, id: c.request.ID[:], buffer: buffer}
	err = w.send(answer.Body)
	*scratch = keepSmall(w.buffer)
	return err == nil
}
