package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Owner returns the owner of a key. A gateway of the cell that owns the key answers.
func (s *sources) Owner(ctx context.Context, team, service, key string) (*admin.Ownership, error) {
	view, err := s.view(team)
	if err != nil {
		return nil, err
	}
	ownership, err := s.ownerHere(view, service, key)
	if err != nil || ownership.Cell == view.Cell {
		return ownership, err
	}
	remote := new(admin.Ownership)
	q := query{Kind: queryOwner, Team: team, Service: service, Key: key}
	if err := s.node.askCell(ctx, view.Config.CellHosts(ownership.Cell), q, remote); err != nil {
		// The cell cannot be reached, so that only the partition is known.
		return ownership, nil
	}
	return remote, nil
}

// ownerHere returns what this gateway knows of the owner of a key.
func (s *sources) ownerHere(view *gateway.RoutingTable, service, key string) (*admin.Ownership, error) {
	configured, ok := view.Config.Service(service)
	if !ok || !configured.Keyed {
		return nil, errors.Wrapf(admin.ErrNotFound, "service %s is not configured or not divided by key", service)
	}
	partition, cellName, _ := view.PartitionOf(service, key)
	ownership := &admin.Ownership{Service: service, Key: key, Partition: uint32(partition), Cell: cellName}
	if cellName == view.Cell {
		fillOwner(ownership, view, partition)
	}
	return ownership, nil
}

func fillOwner(o *admin.Ownership, view *gateway.RoutingTable, partition keyspace.Partition) {
	service := view.Snapshot.Services[o.Service]
	if service == nil {
		return
	}
	owner := service.OwnerOf(o.Key)
	_, o.HotKey = service.HotKeys[o.Key]
	o.Server = owner.Server
	o.Home = view.Snapshot.Servers[owner.Server].Home
	o.Moving = owner.Releasing
	if !owner.Token.IsZero() {
		o.Token = owner.Token.String()
	}
	o.Partition = uint32(partition)
}
