package control

import (
	"context"

	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

// applyCell carries out an output of the cell's state machine.
func (l *Loop) applyCell(out cell.Output) {
	for _, envelope := range out.Send {
		l.sendControl(envelope.To, envelope.Message)
	}
	for _, request := range out.Store {
		l.cellStore(request)
	}
	for _, event := range out.Events {
		l.options.Recorder.Record(event)
	}
	if out.Changed {
		l.publish()
	}
}

func (l *Loop) publish() {
	snapshot := l.cell.Snapshot()
	l.options.Publisher.Published(snapshot)
	role := topologyRole{holder: snapshot.Holder, successor: snapshot.Successor}
	if role != l.role {
		l.role = role
		l.configureTopology()
	}
}

func (l *Loop) cellStore(r cell.StoreRequest) {
	l.store.run(func(ctx context.Context) func() {
		entry, err := l.cellCall(ctx, r)
		return func() {
			l.applyCell(l.cell.HandleStoreResult(l.now(), cell.StoreResult{ID: r.ID, Entry: entry, Err: err}))
		}
	})
}

func (l *Loop) cellCall(ctx context.Context, r cell.StoreRequest) (store.Entry, error) {
	if r.Write {
		return l.options.Store.CompareAndSwap(ctx, r.Key, r.Version, r.Value)
	}
	return l.options.Store.Get(ctx, r.Key)
}
