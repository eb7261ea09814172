package node

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// queryKind names what a gateway asks another one on behalf of an operator.
type queryKind string

// Kinds of queries.
const (
	// queryOwner asks for the owner of a key of the answering gateway's cell.
	queryOwner queryKind = "owner"
	// queryCell asks for the state of the answering gateway's cell.
	queryCell queryKind = "cell"
	// queryStop asks for the progress of a planned stop in the answering gateway's cell.
	queryStop queryKind = "stop"
)

// query is a question of one gateway to another. Operators' questions are rare, so that JSON is fast enough.
type query struct {
	Kind    queryKind          `json:"kind"`
	Team    string             `json:"team"`
	Service string             `json:"service,omitempty"`
	Key     string             `json:"key,omitempty"`
	Stop    config.Stop `json:"stop"`
}

// ask sends a query to the gateway of a host and decodes its answer.
func (n *Node) ask(ctx context.Context, host config.Host, q query, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	stream, err := n.pool.OpenStream(ctx, host.PeerAddress)
	if err != nil {
		return err
	}
	defer stream.Close()
	deadline, _ := ctx.Deadline()
	if err := stream.SetDeadline(deadline); err != nil {
		return errors.Wrap(err, "set the deadline of a query")
	}
	payload, err := json.Marshal(q)
	if err != nil {
		return errors.Wrap(err, "encode a query")
	}
	if err := wire.WriteFrame(stream, wire.FrameQuery, payload); err != nil {
		return err
	}
	frameType, reply, err := wire.ReadFrame(bufio.NewReader(stream), nil)
	if err != nil || frameType != wire.FrameQuery {
		return errors.CombineErrors(errors.Wrapf(admin.ErrNotFound, "gateway %s did not answer", host.Name), err)
	}
	return errors.Wrap(json.Unmarshal(reply, answer), "decode the answer to a query")
}

// askCell asks the gateways of a cell in turn until one answers.
func (n *Node) askCell(ctx context.Context, hosts []config.Host, q query, answer any) error {
	err := errors.Wrap(admin.ErrNotFound, "the cell has no hosts")
	for _, host := range hosts {
		if err = n.ask(ctx, host, q, answer); err == nil {
			return nil
		}
	}
	return err
}

// HandleQuery answers a query of another gateway. An empty answer means that it cannot be answered.
func (n *Node) HandleQuery(payload []byte) []byte {
	var q query
	if err := json.Unmarshal(payload, &q); err != nil {
		return nil
	}
	answer, err := n.answer(q)
	if err != nil {
		return nil
	}
	// The answers are plain structures, so that encoding cannot fail.
	data, _ := json.Marshal(answer)
	return data
}

func (n *Node) answer(q query) (any, error) {
	s := &sources{node: n}
	view, err := s.view(q.Team)
	if err != nil {
		return nil, err
	}
	switch q.Kind {
	case queryOwner:
		return s.ownerHere(view, q.Service, q.Key)
	case queryCell:
		return s.cellHere(view), nil
	case queryStop:
		progress := s.progressHere(view, q.Stop, time.Now())
		return &progress, nil
	default:
		return nil, errors.Wrapf(admin.ErrNotFound, "query %q", q.Kind)
	}
}
