package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/accept"
	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/control"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
)

// sources answers the administration API from the state of one gateway.
type sources struct {
	node       *Node
	configurer *configurer
}

// view returns the current view if it belongs to the team.
func (s *sources) view(team string) (*gateway.RoutingTable, error) {
	view := s.node.gateway.RoutingTable()
	if view == nil || view.Config.Team != team {
		return nil, errors.Wrapf(admin.ErrNotFound, "team %s has no configuration on this gateway", team)
	}
	return view, nil
}

// configurer accepts configurations and passes accepted ones to the control loop at once.
type configurer struct {
	*accept.Accepter
	node *Node
}

func newConfigurer(n *Node) *configurer {
	return &configurer{node: n, Accepter: &accept.Accepter{
		Store:        n.options.Store,
		HostResponds: n.answers,
		InForce:      n.inForce,
	}}
}

// answers asks the gateway of a host whether it is there.
func (n *Node) answers(host config.Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	stream, err := n.pool.OpenStream(ctx, host.PeerAddress)
	if err != nil {
		return false
	}
	_ = stream.Close()
	return true
}

// inForce returns the configuration in force of the team, or nil.
func (n *Node) inForce(team string) *config.Config {
	if view := n.gateway.RoutingTable(); view != nil && view.Config.Team == team {
		return view.Config
	}
	return nil
}

// Current returns the accepted configuration. While the store is down it is the one in force.
func (c *configurer) Current(ctx context.Context, team string) (*config.Config, error) {
	current, err := c.Accepter.Current(ctx, team)
	view := c.node.gateway.RoutingTable()
	if errors.Is(err, accept.ErrStoreUnavailable) && view != nil && view.Config.Team == team {
		return view.Config, nil
	}
	return current, err
}

// Accept puts a configuration in force.
func (c *configurer) Accept(ctx context.Context, team string, r accept.Request) (*config.Config, error) {
	return c.spread(c.Accepter.Accept(ctx, team, r))
}

// Announce adds or replaces a planned stop.
func (c *configurer) Announce(ctx context.Context, team string, a accept.Announcement) (*config.Config, error) {
	return c.spread(c.Accepter.Announce(ctx, team, a))
}

// Cancel removes a planned stop.
func (c *configurer) Cancel(ctx context.Context, team string, a accept.Announcement) (*config.Config, error) {
	return c.spread(c.Accepter.Cancel(ctx, team, a))
}

func (c *configurer) spread(accepted *config.Config, err error) (*config.Config, error) {
	if err != nil {
		return nil, err
	}
	if data, encodeErr := accepted.Encode(); encodeErr == nil {
		c.node.loop.Accepted(control.Document(accepted, data))
	}
	return accepted, nil
}
