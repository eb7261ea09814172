package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// HandleControl queues one control payload from another gateway. It never blocks: a message is dropped while the queue
// is full, because the state machines retransmit the messages that must arrive.
func (l *Loop) HandleControl(payload []byte) {
	envelope := new(wire.Envelope)
	if err := proto.Unmarshal(payload, envelope); err != nil || envelope.From == "" {
		l.options.Log.WithError(err).Warn("Dropped a malformed control message.")
		return
	}
	select {
	case l.inbox <- envelope:
	default:
		l.options.Log.Warn("Dropped a control message because the queue of the control loop is full.")
	}
}

func (l *Loop) handleEnvelope(e *wire.Envelope) {
	l.options.Clock.Observe(timeline.Timestamp(e.Time))
	if e.Config != nil {
		l.applyConfigOutput(l.configSync.HandlePeerState(l.now(), e.From, fromWireState(e.Config)))
	}
	switch body := e.Body.(type) {
	case *wire.Envelope_Control:
		l.applyCellOutput(l.cell.Receive(l.now(), e.From, body.Control))
	case *wire.Envelope_Confsync:
		l.handleConfigMessage(e.From, body.Confsync)
	}
}

func (l *Loop) handleConfigMessage(from string, data []byte) {
	m, err := confsync.Unmarshal(data)
	if err != nil {
		l.options.Log.WithError(err).Warn("Dropped a malformed configuration message.")
		return
	}
	l.applyConfigOutput(l.configSync.Receive(l.now(), from, m))
}

func (l *Loop) sendControl(to string, m *wire.Control) {
	e := &wire.Envelope{Body: &wire.Envelope_Control{Control: m}}
	if m.GetHeartbeat() != nil || m.GetHeartbeatReply() != nil {
		e.Config = toWireState(l.configSync.State())
	}
	l.send(to, e)
}

func (l *Loop) sendConfig(to string, m confsync.Message) {
	data, err := confsync.Marshal(m)
	if err != nil {
		l.options.Log.WithError(err).Error("Could not encode a configuration message.")
		return
	}
	l.send(to, &wire.Envelope{Body: &wire.Envelope_Confsync{Confsync: data}})
}

func (l *Loop) send(to string, e *wire.Envelope) {
	address := l.peerAddress(to)
	if address == "" {
		return
	}
	e.From = l.options.Host
	e.Time = uint64(l.options.Clock.Now())
	payload, err := proto.Marshal(e)
	if err != nil {
		l.options.Log.WithError(err).Error("Could not encode a control message.")
		return
	}
	if err := l.options.Sender.Send(address, payload); err != nil {
		l.options.Log.WithError(err).Debug("Could not send a control message.")
	}
}

// peerAddress returns the peer address of a host from the held configuration, or from the seeds if the configuration
// does not contain the host. It returns "" for an unknown host.
func (l *Loop) peerAddress(host string) string {
	if l.heldConfig != nil {
		if h, ok := l.heldConfig.Host(host); ok {
			return h.PeerAddress
		}
	}
	return l.options.Seeds[host]
}

func toWireState(s confsync.State) *wire.ConfigState {
	return &wire.ConfigState{Revision: s.Revision, Tag: s.Tag, Disputed: s.Disputed}
}

func fromWireState(s *wire.ConfigState) confsync.State {
	return confsync.State{Revision: s.Revision, Tag: s.Tag, Disputed: s.Disputed}
}
