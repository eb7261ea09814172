package control

import (
	"context"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// applyCellOutput executes an output of the cell's state machine.
func (l *Loop) applyCellOutput(out cell.Output) {
	for _, envelope := range out.Messages {
		l.sendControl(envelope.To, envelope.Message)
	}
	for _, request := range out.Store {
		l.startCellStoreRequest(request)
	}
	for _, event := range out.Events {
		l.options.Recorder.Record(event)
	}
	if out.Changed {
		l.publish()
	}
}

// publish passes the snapshot to the publisher and updates the topology of confsync if the roles in the cell changed.
func (l *Loop) publish() {
	snapshot := l.cell.Snapshot()
	l.options.Publisher.SetSnapshot(snapshot)
	roles := cellRoles{holder: snapshot.Holder, successor: snapshot.Successor}
	if roles != l.roles {
		l.roles = roles
		l.configureTopology()
	}
}

func (l *Loop) startCellStoreRequest(r cell.StoreRequest) {
	l.store.execute(func(ctx context.Context) func() {
		entry, err := l.executeCellStoreRequest(ctx, r)
		return func() {
			l.applyCellOutput(l.cell.HandleStoreResult(l.now(), cell.StoreResult{ID: r.ID, Entry: entry, Err: err}))
		}
	})
}

func (l *Loop) executeCellStoreRequest(ctx context.Context, r cell.StoreRequest) (store.Entry, error) {
	if r.Write {
		return l.options.Store.CompareAndSwap(ctx, r.Key, r.Version, r.Value)
	}
	return l.options.Store.Get(ctx, r.Key)
}
