package controller

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/internal/relay"
	"github.com/sapphireplank/sapphireplank/internal/snapshot"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// FuzzRelayMessage guards against a message between gateways that makes the receiver panic.
func FuzzRelayMessage(f *testing.F) {
	assigner := ownership.NewAssigner(ownership.Settings{Keys: testKeys}, 0)
	table, _ := assigner.Table(0)
	value, err := table.Encode()
	if err != nil {
		f.Fatal(err)
	}
	item := relay.EncodeEvent(kv.Event{Item: kv.Item{Key: tableKeyPrefix + "s", Value: value, Revision: at(5), Created: at(5)}})
	for _, message := range []*wire.RelayDown{
		{Full: true, AsOf: 5, Items: []*wire.RelayItem{item}},
		{Fresh: true, AsOf: 6, Gateways: 3, ReportMs: 100},
		{Tables: []*wire.OwnershipDelta{{Service: "s", Base: 5, Revision: 7}}},
		{Index: relay.EncodeIndex(relay.NewIndex(1, []uint32{7})), Loads: relay.EncodeLoadVector(relay.NewIndex(1, []uint32{7}), map[uint32]int{7: 3})},
	} {
		encoded, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message := &wire.RelayDown{}
		if proto.Unmarshal(encoded, message) != nil {
			return
		}
		dataPlane := &testDataPlane{t: t}
		dataPlane.view.Store(&snapshot.Snapshot{})
		c := New(Options{
			Entries: testEntryDecoder{}, Clock: func() time.Duration { return time.Second }, DataPlane: dataPlane,
			Ownership: ownership.Settings{Keys: testKeys}, Log: logging.Discard().Component("control"),
		})
		c.source.stopRelay = func() {}
		c.handleRelayMessage(0, &wire.RelayDown{Full: true, AsOf: 5, Items: []*wire.RelayItem{item}})
		c.handleRelayMessage(0, message)
		if table := c.tables["s"]; table != nil && table.Find(testKeys-1) == nil {
			t.Fatal("the table lacks the last key")
		}
	})
}
