package node

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/admin"
	"github.com/sapphireplank/sapphireplank/internal/gateway"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
)

// Owner returns the owner of a key. The server is known for keys of this gateway's cell only.
func (s *sources) Owner(_ context.Context, team, service, key string) (*admin.Ownership, error) {
	view, err := s.view(team)
	if err != nil {
		return nil, err
	}
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

func fillOwner(o *admin.Ownership, view *gateway.View, partition keyspace.Partition) {
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
