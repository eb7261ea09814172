package relay

import (
	"maps"
	"slices"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// LoadSender prepares the messages with the request counts of all gateways by backend server. The zero value is ready to use.
type LoadSender struct {
	index *Index
	// loads are the counts that were last sent.
	loads map[uint32]int
}

// Next returns the next message, or nil if no count has changed. servers returns the known servers; it is called only if there
// is no index yet, serversChanged is set, or the index lacks a server.
func (s *LoadSender) Next(loads map[uint32]int, serversChanged bool, servers func() []uint32) *wire.RelayDown {
	message := &wire.RelayDown{}
	switch {
	case s.updateIndex(loads, serversChanged, servers):
		message.Index = EncodeIndex(s.index)
	case maps.Equal(s.loads, loads):
		return nil
	}
	s.loads = loads
	message.Loads = EncodeLoadVector(s.index, loads)
	return message
}

// updateIndex makes an index that has all servers if the current one does not, and reports whether it did.
func (s *LoadSender) updateIndex(loads map[uint32]int, serversChanged bool, servers func() []uint32) bool {
	version := uint32(1)
	if s.index != nil {
		if !serversChanged && s.index.containsAll(loads) {
			return false
		}
		version = s.index.Version() + 1
	}
	next := NewIndex(version, slices.AppendSeq(servers(), maps.Keys(loads)))
	if s.index != nil && slices.Equal(next.servers, s.index.servers) {
		return false
	}
	s.index = next
	return true
}

// Full returns the message for a gateway that has just connected, or nil if nothing was sent yet.
func (s *LoadSender) Full() *wire.RelayDown {
	if s.index == nil {
		return nil
	}
	return &wire.RelayDown{Index: EncodeIndex(s.index), Loads: EncodeLoadVector(s.index, s.loads)}
}

// RunTimes encodes run times by server. It returns nil before the first index was sent.
func (s *LoadSender) RunTimes(runTimes map[uint32]RunTime) *wire.RunTimeVector {
	if s.index == nil {
		return nil
	}
	return EncodeRunTimeVector(s.index, runTimes)
}

// LoadReceiver holds the request counts of all gateways as the elected one sent them over a connection. The zero value is ready
// to use for a new connection.
type LoadReceiver struct {
	index *Index
	loads map[uint32]int
}

// Receive applies a message. It returns the counts, or nil if the message neither changes nor confirms any: a heartbeat of a
// gateway that is in contact with the store confirms the current ones.
func (r *LoadReceiver) Receive(message *wire.RelayDown) (map[uint32]int, error) {
	if message.Index != nil {
		r.index = DecodeIndex(message.Index)
	}
	if message.Loads == nil {
		if !message.Fresh {
			return nil, nil
		}
		return r.loads, nil
	}
	loads, err := DecodeLoadVector(r.index, message.Loads)
	if err != nil {
		return nil, err
	}
	r.loads = loads
	return loads, nil
}

// RunTimes returns the run times in a message, or nil if it has none.
func (r *LoadReceiver) RunTimes(message *wire.RelayDown) (map[uint32]RunTime, error) {
	if message.RunTimes == nil {
		return nil, nil
	}
	return DecodeRunTimeVector(r.index, message.RunTimes)
}
