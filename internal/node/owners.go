package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Owner returns the owner of a key. If the key belongs to another cell, it queries a gateway of that cell.
func (s *adminSources) Owner(ctx context.Context, team, service, key string) (*admin.Ownership, error) {
	table, err := s.routingTable(team)
	if err != nil {
		return nil, err
	}
	ownership, err := s.localOwnership(table, service, key)
	if err != nil || ownership.Cell == table.Cell {
		return ownership, err
	}
	remote := new(admin.Ownership)
	q := query{Kind: queryOwner, Team: team, Service: service, Key: key}
	if err := s.node.queryFirstResponding(ctx, table.Config.CellHosts(ownership.Cell), q, remote); err != nil {
		// No gateway of the cell responded, so only the partition is known.
		return ownership, nil
	}
	return remote, nil
}

// localOwnership returns the ownership of a key according to the routing table of this gateway, which has no owners for
// other cells.
func (s *adminSources) localOwnership(table *gateway.RoutingTable, service, key string) (*admin.Ownership, error) {
	configured, ok := table.Config.Service(service)
	if !ok || !configured.Keyed {
		return nil, errors.Wrapf(admin.ErrNotFound, "service %s is not configured or not divided by key", service)
	}
	partition, cellName, _ := table.PartitionOf(service, key)
	ownership := &admin.Ownership{Service: service, Key: key, Partition: uint32(partition), Cell: cellName}
	if cellName == table.Cell {
		fillOwnership(ownership, table, partition)
	}
	return ownership, nil
}

func fillOwnership(o *admin.Ownership, table *gateway.RoutingTable, partition keyspace.Partition) {
	service := table.Snapshot.Services[o.Service]
	if service == nil {
		return
	}
	owner := service.OwnerOf(o.Key)
	_, o.HotKey = service.HotKeys[o.Key]
	o.Server = owner.Server
	o.Home = table.Snapshot.Servers[owner.Server].Home
	o.Moving = owner.Releasing
	if !owner.Token.IsZero() {
		o.Token = owner.Token.String()
	}
	o.Partition = uint32(partition)
}
