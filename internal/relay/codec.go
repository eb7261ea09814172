package relay

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// ServerHash names a life of a backend server in messages.
func ServerHash(life directory.Incarnation) uint32 {
	name := make([]byte, 0, maxHashedBytes)
	name = append(name, life.ID...)
	name = binary.LittleEndian.AppendUint64(name, uint64(life.StartedAtMs))
	return uint32(xxhash.Sum64(name))
}

// maxHashedBytes is the usual length of an ID with its start; longer ones are hashed too.
const maxHashedBytes = 64

// EncodeLoads returns the message form of request counts.
func EncodeLoads(loads map[uint32]int) *wire.ServerLoads {
	message := &wire.ServerLoads{}
	for server, requests := range loads {
		message.Servers = append(message.Servers, server)
		message.Requests = append(message.Requests, uint32(requests))
	}
	return message
}

// LoadChanges returns the request counts that differ from those before. A server without requests has a count of 0.
func LoadChanges(before, after map[uint32]int) map[uint32]int {
	changes := make(map[uint32]int)
	for server, requests := range after {
		if before[server] != requests {
			changes[server] = requests
		}
	}
	for server := range before {
		if _, ok := after[server]; !ok {
			changes[server] = 0
		}
	}
	return changes
}

// ApplyLoadChanges applies changes to request counts.
func ApplyLoadChanges(loads, changes map[uint32]int) {
	for server, requests := range changes {
		if requests == 0 {
			delete(loads, server)
			continue
		}
		loads[server] = requests
	}
}

// DecodeLoads returns the request counts of a message.
func DecodeLoads(message *wire.ServerLoads) map[uint32]int {
	loads := make(map[uint32]int, len(message.GetServers()))
	for i, server := range message.GetServers() {
		if i < len(message.GetRequests()) {
			loads[server] = int(message.GetRequests()[i])
		}
	}
	return loads
}

// EncodeRunTimes returns the message form of run times.
func EncodeRunTimes(works map[uint32]RunTime) []*wire.ServerWork {
	var message []*wire.ServerWork
	for server, work := range works {
		message = append(message, &wire.ServerWork{
			Server: server, MeanUs: uint32(work.Mean.Microseconds()), Measurements: uint32(work.Measurements),
		})
	}
	return message
}

// DecodeRunTimes returns the run times of a message.
func DecodeRunTimes(message []*wire.ServerWork) map[uint32]RunTime {
	works := make(map[uint32]RunTime, len(message))
	for _, work := range message {
		works[work.Server] = RunTime{
			Mean: time.Duration(work.MeanUs) * time.Microsecond, Measurements: int(work.Measurements),
		}
	}
	return works
}

// EncodeEvent returns the message form of a change.
func EncodeEvent(event kv.Event) *wire.RelayItem {
	return &wire.RelayItem{
		Key:      event.Key,
		Value:    event.Value,
		Revision: int64(event.Revision),
		Created:  int64(event.Created),
		Lease:    int64(event.Lease),
		Deleted:  event.Deleted,
	}
}

// DecodeEvent returns the change of a message.
func DecodeEvent(item *wire.RelayItem) kv.Event {
	return kv.Event{
		Item: kv.Item{
			Key:      item.Key,
			Value:    item.Value,
			Revision: kv.Revision(item.Revision),
			Created:  kv.Revision(item.Created),
			Lease:    kv.LeaseID(item.Lease),
		},
		Deleted: item.Deleted,
	}
}
