package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// applyConfig carries out an output of the configuration's state machine.
func (l *Loop) applyConfig(out confsync.Output) {
	if out.InForce != nil {
		l.putInForce(*out.InForce)
	}
	if out.Held != nil {
		l.hold(*out.Held)
	}
	for _, send := range out.Messages {
		l.sendConfig(send.To, send.Message)
	}
	for _, request := range out.Store {
		l.configStore(request)
	}
	for _, note := range out.Events {
		l.recordNote(note)
	}
}

func (l *Loop) putInForce(document confsync.Document) {
	c, err := l.decoded.of(document)
	if err != nil {
		l.options.Log.WithError(err).Error("Could not decode the configuration in force.")
		return
	}
	l.inForce = c
	l.assign.Configure(c)
	l.options.Publisher.Configured(c)
	l.applyCell(l.cell.Configure(l.now(), c))
	l.publish()
}

func (l *Loop) hold(document confsync.Document) {
	c, err := l.decoded.of(document)
	if err != nil {
		l.options.Log.WithError(err).Error("Could not decode a configuration.")
		return
	}
	l.held = c
	l.cells = topologyCells(c)
	l.configureTopology()
}

func (l *Loop) configureTopology() {
	if l.held == nil {
		return
	}
	l.applyConfig(l.confs.SetTopology(l.now(), topology(l.options.Host, l.held, l.cells, l.role)))
}

func (l *Loop) recordNote(n confsync.Event) {
	detail := "Revision " + n.Version.ID + "."
	l.options.Recorder.Record(timeline.Event{Kind: timeline.Kind(n.Kind), Host: l.options.Host, Detail: detail})
}

func (l *Loop) configStore(r confsync.StoreRequest) {
	switch r.Kind {
	case confsync.StoreCancelWatch:
		l.store.stopWatch(r.Seq)
	case confsync.StoreWatch:
		l.store.watch(r.Seq, func(ctx context.Context) func() { return l.configCall(ctx, r) })
	default:
		l.store.run(func(ctx context.Context) func() { return l.configCall(ctx, r) })
	}
}

// configCall makes one call of the store and returns the function that passes its result to the state machine.
func (l *Loop) configCall(ctx context.Context, r confsync.StoreRequest) func() {
	entry, err := l.callStore(ctx, r)
	result := confsync.StoreResult{Seq: r.Seq, Err: storeError(err), Version: entry.Version}
	if err == nil && r.Kind != confsync.StoreWrite {
		document, decodeErr := decodeDocument(entry.Value)
		if decodeErr != nil {
			result.Err = confsync.StoreUnavailable
		}
		result.Document = document
	}
	return func() { l.applyConfig(l.confs.HandleStoreResult(l.now(), result)) }
}

func (l *Loop) callStore(ctx context.Context, r confsync.StoreRequest) (store.Entry, error) {
	key := config.StoreKey(l.options.Team)
	switch r.Kind {
	case confsync.StoreWatch:
		return l.options.Store.Watch(ctx, key, r.Version)
	case confsync.StoreWrite:
		return l.options.Store.CompareAndSwap(ctx, key, r.Version, r.Document.Bytes)
	default:
		return l.options.Store.Get(ctx, key)
	}
}

func storeError(err error) confsync.StoreError {
	switch {
	case err == nil:
		return confsync.StoreOK
	case errors.Is(err, store.ErrNotFound):
		return confsync.StoreNotFound
	case errors.Is(err, store.ErrConflict):
		return confsync.StoreConflict
	default:
		return confsync.StoreUnavailable
	}
}

// revisionOf reads the revision of a configuration in its stored form.
func revisionOf(value []byte) (uint64, error) {
	c, err := config.DecodeIgnoringUnknown(value)
	if err != nil {
		return 0, err
	}
	return c.Revision, nil
}

func decodeDocument(data []byte) (confsync.Document, error) {
	c, err := config.DecodeIgnoringUnknown(data)
	if err != nil {
		return confsync.Document{}, err
	}
	return Document(c, data), nil
}

// Document returns the document of an encoded configuration.
func Document(c *config.Config, data []byte) confsync.Document {
	return confsync.Document{Version: confsync.Version{Revision: c.Revision, ID: c.ID}, Bytes: data}
}
