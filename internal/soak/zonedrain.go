package soak

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/platform"
)

// zoneDrainTime is the shortest time for which a zone is drained. It exceeds that in which gateways have to obey.
const zoneDrainTime = 7 * time.Second

// drainZone requests that a zone is drained, and takes that back after some time.
func (d *deployment) drainZone(zone string, duration time.Duration) error {
	ctx, key := context.Background(), platform.ZoneDrainPrefix+zone
	if _, err := d.store.Commit(ctx, kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte("{}")}}}); err != nil {
		return errors.Wrap(err, "request to drain a zone")
	}
	for _, b := range d.backends {
		if b.options.Zone == zone {
			b.options.Notices.DrainZone()
			defer b.options.Notices.EndZoneDrain()
		}
	}
	time.Sleep(zoneDrainTime + duration)
	_, err := d.store.Commit(ctx, kv.Txn{Deletes: []string{key}})
	return errors.Wrap(err, "take a drain back")
}
