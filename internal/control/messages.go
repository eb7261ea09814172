package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/confsync"
	"github.com/sapphireplank/sapphireplank/internal/timeline"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// HandleControl takes one control payload from another gateway. It never blocks: what does not fit is dropped,
// and the state machines repeat what matters.
func (l *Loop) HandleControl(payload []byte) {
	envelope := new(wire.Envelope)
	if err := proto.Unmarshal(payload, envelope); err != nil || envelope.From == "" {
		l.options.Log.WithError(err).Warn("Dropped a malformed control message.")
		return
	}
	select {
	case l.inbox <- envelope:
	default:
		l.options.Log.Warn("Dropped a control message because the loop is behind.")
	}
}

func (l *Loop) receive(e *wire.Envelope) {
	l.options.Clock.Observe(timeline.Timestamp(e.Time))
	if e.Config != nil {
		l.applyConfig(l.confs.HandlePeerState(l.now(), e.From, fromWireState(e.Config)))
	}
	switch body := e.Body.(type) {
	case *wire.Envelope_Control:
		l.applyCell(l.cell.Receive(l.now(), e.From, body.Control))
	case *wire.Envelope_Confsync:
		l.receiveConfig(e.From, body.Confsync)
	}
}

func (l *Loop) receiveConfig(from string, data []byte) {
	m, err := confsync.Unmarshal(data)
	if err != nil {
		l.options.Log.WithError(err).Warn("Dropped a malformed configuration message.")
		return
	}
	l.applyConfig(l.confs.Receive(l.now(), from, m))
}

func (l *Loop) sendControl(to string, m *wire.Control) {
	e := &wire.Envelope{Body: &wire.Envelope_Control{Control: m}}
	if m.GetHeartbeat() != nil || m.GetHeartbeatReply() != nil {
		e.Config = toWireState(l.confs.State())
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
	address := l.address(to)
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
		l.options.Log.WithError(err).Debug("Dropped a control message.")
	}
}

// address returns the peer address of a host by the newest configuration, or by the settings before there is one.
func (l *Loop) address(host string) string {
	if l.held != nil {
		if h, ok := l.held.Host(host); ok {
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
