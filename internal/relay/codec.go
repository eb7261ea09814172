package relay

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// ServerHash returns the hash that identifies an incarnation of a backend server in messages.
func ServerHash(incarnation directory.Incarnation) uint32 {
	name := make([]byte, 0, typicalNameLen)
	name = append(name, incarnation.ID...)
	name = binary.LittleEndian.AppendUint64(name, uint64(incarnation.StartedAtMs))
	return uint32(xxhash.Sum64(name))
}

// typicalNameLen is the buffer capacity for a typical ID with its start time. Longer names are hashed in full as well.
const typicalNameLen = 64

// EncodeLoads encodes request counts by server.
func EncodeLoads(loads map[uint32]int) *wire.ServerLoads {
	message := &wire.ServerLoads{}
	for server, requests := range loads {
		message.Servers = append(message.Servers, server)
		message.Requests = append(message.Requests, uint32(requests))
	}
	return message
}

// DecodeLoads decodes request counts by server.
func DecodeLoads(message *wire.ServerLoads) map[uint32]int {
	loads := make(map[uint32]int, len(message.GetServers()))
	for i, server := range message.GetServers() {
		if i < len(message.GetRequests()) {
			loads[server] = int(message.GetRequests()[i])
		}
	}
	return loads
}

// EncodeRunTimes encodes run times by server.
func EncodeRunTimes(runTimes map[uint32]RunTime) *wire.RunTimes {
	message := &wire.RunTimes{}
	for server, runTime := range runTimes {
		message.Servers = append(message.Servers, server)
		message.Means = append(message.Means, encodeRunTime(runTime.Mean))
		message.Measurements = append(message.Measurements, byte(min(runTime.Measurements, math.MaxUint8)))
	}
	return message
}

// DecodeRunTimes decodes run times by server.
func DecodeRunTimes(message *wire.RunTimes) map[uint32]RunTime {
	runTimes := make(map[uint32]RunTime, len(message.GetServers()))
	for i, server := range message.GetServers() {
		if i < len(message.Means) && i < len(message.Measurements) {
			runTimes[server] = RunTime{Mean: decodeRunTime(message.Means[i]), Measurements: int(message.Measurements[i])}
		}
	}
	return runTimes
}

// ChangedRunTimes returns the run times that differ between before and after.
func ChangedRunTimes(before, after map[uint32]RunTime) map[uint32]RunTime {
	changed := make(map[uint32]RunTime)
	for server, runTime := range after {
		if before[server] != runTime {
			changed[server] = runTime
		}
	}
	return changed
}

// EncodeEvent encodes a change of the store. The message that contains it states the era.
func EncodeEvent(event kv.Event) *wire.RelayItem {
	return &wire.RelayItem{
		Key:      event.Key,
		Value:    event.Value,
		Revision: event.Revision.Number,
		Created:  event.Created.Number,
		Lease:    int64(event.Lease),
		Deleted:  event.Deleted,
	}
}

// DecodeEvent decodes a change of the store in an era.
func DecodeEvent(item *wire.RelayItem, era kv.Era) kv.Event {
	return kv.Event{
		Item: kv.Item{
			Key:      item.Key,
			Value:    item.Value,
			Revision: kv.Revision{Era: era, Number: item.Revision},
			Created:  decodeCreated(item.Created, era),
			Lease:    kv.LeaseID(item.Lease),
		},
		Deleted: item.Deleted,
	}
}

// decodeCreated decodes a revision that is zero for a key that does not exist.
func decodeCreated(number int64, era kv.Era) kv.Revision {
	if number == 0 {
		return kv.Revision{}
	}
	return kv.Revision{Era: era, Number: number}
}
