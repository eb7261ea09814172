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

// adminSources implements the sources of the administration API with the state of one gateway.
type adminSources struct {
	node    *Node
	configs *configService
}

// routingTable returns the current routing table, or ErrNotFound if there is none for the team.
func (s *adminSources) routingTable(team string) (*gateway.RoutingTable, error) {
	table := s.node.gateway.RoutingTable()
	if table == nil || table.Config.Team != team {
		return nil, errors.Wrapf(admin.ErrNotFound, "team %s has no configuration on this gateway", team)
	}
	return table, nil
}

// configService accepts configurations and passes accepted ones to the control loop immediately, without waiting for
// the store's watch.
type configService struct {
	*accept.Accepter
	node *Node
}

func newConfigService(n *Node) *configService {
	return &configService{node: n, Accepter: &accept.Accepter{
		Store:        n.options.Store,
		HostResponds: n.isReachable,
		InForce:      n.configInForce,
	}}
}

// isReachable reports whether a stream to the gateway of a host can be opened.
func (n *Node) isReachable(host config.Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), peerResponseTimeout)
	defer cancel()
	stream, err := n.pool.OpenStream(ctx, host.PeerAddress)
	if err != nil {
		return false
	}
	_ = stream.Close()
	return true
}

// configInForce returns the team's configuration in force on this gateway, or nil.
func (n *Node) configInForce(team string) *config.Config {
	if table := n.gateway.RoutingTable(); table != nil && table.Config.Team == team {
		return table.Config
	}
	return nil
}

// Current returns the accepted configuration. While the store is unavailable, it returns the one in force on this
// gateway.
func (c *configService) Current(ctx context.Context, team string) (*config.Config, error) {
	current, err := c.Accepter.Current(ctx, team)
	table := c.node.gateway.RoutingTable()
	if errors.Is(err, accept.ErrStoreUnavailable) && table != nil && table.Config.Team == team {
		return table.Config, nil
	}
	return current, err
}

// Accept commits a configuration to the store.
func (c *configService) Accept(ctx context.Context, team string, r accept.Request) (*config.Config, error) {
	return c.applyLocally(c.Accepter.Accept(ctx, team, r))
}

// Announce adds or replaces a planned stop.
func (c *configService) Announce(ctx context.Context, team string, a accept.Announcement) (*config.Config, error) {
	return c.applyLocally(c.Accepter.Announce(ctx, team, a))
}

// Cancel removes a planned stop.
func (c *configService) Cancel(ctx context.Context, team string, a accept.Announcement) (*config.Config, error) {
	return c.applyLocally(c.Accepter.Cancel(ctx, team, a))
}

func (c *configService) applyLocally(accepted *config.Config, err error) (*config.Config, error) {
	if err != nil {
		return nil, err
	}
	if data, encodeErr := accepted.Encode(); encodeErr == nil {
		c.node.loop.NotifyAccepted(control.Document(accepted, data))
	}
	return accepted, nil
}
