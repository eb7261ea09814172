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

// queryKind is the kind of a query that a gateway sends to another one on behalf of an operator.
type queryKind string

// Kinds of queries.
const (
	// queryOwner requests the owner of a key in the cell of the responding gateway.
	queryOwner queryKind = "owner"
	// queryCell requests the state of the cell of the responding gateway.
	queryCell queryKind = "cell"
	// queryStop requests the progress of a planned stop in the cell of the responding gateway.
	queryStop queryKind = "stop"
)

// query is a query from one gateway to another. It is encoded as JSON, which is fast enough because operators' requests
// are rare.
type query struct {
	Kind    queryKind   `json:"kind"`
	Team    string      `json:"team"`
	Service string      `json:"service,omitempty"`
	Key     string      `json:"key,omitempty"`
	Stop    config.Stop `json:"stop"`
}

// sendQuery sends a query to the gateway of a host and decodes the response.
func (n *Node) sendQuery(ctx context.Context, host config.Host, q query, response any) error {
	ctx, cancel := context.WithTimeout(ctx, peerResponseTimeout)
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
	frameType, data, err := wire.ReadFrame(bufio.NewReader(stream), nil)
	if err != nil || frameType != wire.FrameQuery {
		return errors.CombineErrors(errors.Wrapf(admin.ErrNotFound, "gateway %s did not respond", host.Name), err)
	}
	return errors.Wrap(json.Unmarshal(data, response), "decode the response to a query")
}

// queryFirstResponding sends a query to the gateways of hosts, one after the other, until one responds.
func (n *Node) queryFirstResponding(ctx context.Context, hosts []config.Host, q query, response any) error {
	err := errors.Wrap(admin.ErrNotFound, "the cell has no hosts")
	for _, host := range hosts {
		if err = n.sendQuery(ctx, host, q, response); err == nil {
			return nil
		}
	}
	return err
}

// HandleQuery returns the response to a query of another gateway. An empty response means that the query failed.
func (n *Node) HandleQuery(payload []byte) []byte {
	var q query
	if err := json.Unmarshal(payload, &q); err != nil {
		return nil
	}
	response, err := n.executeQuery(q)
	if err != nil {
		return nil
	}
	// The responses are plain structs, so encoding cannot fail.
	data, _ := json.Marshal(response)
	return data
}

func (n *Node) executeQuery(q query) (any, error) {
	s := &adminSources{node: n}
	table, err := s.routingTable(q.Team)
	if err != nil {
		return nil, err
	}
	switch q.Kind {
	case queryOwner:
		return s.localOwnership(table, q.Service, q.Key)
	case queryCell:
		return s.localCellResponse(table), nil
	case queryStop:
		progress := s.localStopProgress(table, q.Stop, time.Now())
		return &progress, nil
	default:
		return nil, errors.Wrapf(admin.ErrNotFound, "unknown query kind %q", q.Kind)
	}
}
