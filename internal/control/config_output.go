package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
)

// applyConfigOutput executes an output of the state machine of confsync.
func (l *Loop) applyConfigOutput(out confsync.Output) {
	if out.InForce != nil {
		l.setConfigInForce(*out.InForce)
	}
	if out.Held != nil {
		l.setHeldConfig(*out.Held)
	}
	for _, send := range out.Messages {
		l.sendConfig(send.To, send.Message)
	}
	for _, request := range out.Store {
		l.startConfigStoreRequest(request)
	}
	for _, event := range out.Events {
		l.recordConfigEvent(event)
	}
}

func (l *Loop) setConfigInForce(document confsync.Document) {
	c, err := l.configCache.decode(document)
	if err != nil {
		l.options.Log.WithError(err).Error("Could not decode the configuration in force.")
		return
	}
	l.configInForce = c
	l.assigner.Configure(c)
	l.options.Publisher.SetConfig(c)
	l.applyCellOutput(l.cell.Configure(l.now(), c))
	l.publish()
}

func (l *Loop) setHeldConfig(document confsync.Document) {
	c, err := l.configCache.decode(document)
	if err != nil {
		l.options.Log.WithError(err).Error("Could not decode a configuration document.")
		return
	}
	l.heldConfig = c
	l.cells = confsyncCells(c)
	l.configureTopology()
}

func (l *Loop) configureTopology() {
	if l.heldConfig == nil {
		return
	}
	l.applyConfigOutput(l.configSync.SetTopology(l.now(), buildTopology(l.options.Host, l.heldConfig, l.cells, l.roles)))
}

func (l *Loop) recordConfigEvent(event confsync.Event) {
	detail := "Revision " + event.Version.ID + "."
	l.options.Recorder.Record(timeline.Event{Kind: timeline.Kind(event.Kind), Host: l.options.Host, Detail: detail})
}

func (l *Loop) startConfigStoreRequest(r confsync.StoreRequest) {
	switch r.Kind {
	case confsync.StoreCancelWatch:
		l.store.stopWatch(r.Seq)
	case confsync.StoreWatch:
		l.store.watch(r.Seq, func(ctx context.Context) func() { return l.executeConfigStoreRequest(ctx, r) })
	default:
		l.store.execute(func(ctx context.Context) func() { return l.executeConfigStoreRequest(ctx, r) })
	}
}

// executeConfigStoreRequest makes one store call and returns the function that passes the result to the state machine.
func (l *Loop) executeConfigStoreRequest(ctx context.Context, r confsync.StoreRequest) func() {
	entry, err := l.callConfigStore(ctx, r)
	result := confsync.StoreResult{Seq: r.Seq, Err: storeError(err), Version: entry.Version}
	if err == nil && r.Kind != confsync.StoreWrite {
		document, decodeErr := decodeDocument(entry.Value)
		if decodeErr != nil {
			result.Err = confsync.StoreUnavailable
		}
		result.Document = document
	}
	return func() { l.applyConfigOutput(l.configSync.HandleStoreResult(l.now(), result)) }
}

func (l *Loop) callConfigStore(ctx context.Context, r confsync.StoreRequest) (store.Entry, error) {
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

// revisionOf returns the revision of a configuration as it is encoded in the store.
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

// Document returns the confsync document of c, whose encoding is data.
func Document(c *config.Config, data []byte) confsync.Document {
	return confsync.Document{Version: confsync.Version{Revision: c.Revision, ID: c.ID}, Bytes: data}
}
