package confsync

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/confsync/confsyncpb"
)

// ErrInvalidMessage is returned by Unmarshal for malformed messages and for messages of an unknown kind.
var ErrInvalidMessage = errors.New("not a valid configuration replication message; the peer may run another version")

// Marshal returns the wire encoding of a message.
func Marshal(m Message) ([]byte, error) {
	data, err := proto.Marshal(messageToWire(m))
	return data, errors.Wrap(err, "marshal configuration replication message")
}

// Size returns the length of the wire encoding of a message, in bytes.
func Size(m Message) int {
	return proto.Size(messageToWire(m))
}

// Unmarshal decodes the wire encoding of a message.
func Unmarshal(data []byte) (Message, error) {
	var m confsyncpb.Message
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	switch kind := m.GetKind().(type) {
	case *confsyncpb.Message_Exchange:
		return exchangeFromWire(kind.Exchange), nil
	case *confsyncpb.Message_Pull:
		return Pull{Have: versionFromWire(kind.Pull.GetHave())}, nil
	case *confsyncpb.Message_Content:
		return contentFromWire(kind.Content), nil
	default:
		return nil, ErrInvalidMessage
	}
}

func messageToWire(m Message) *confsyncpb.Message {
	switch m := m.(type) {
	case Exchange:
		return &confsyncpb.Message{Kind: &confsyncpb.Message_Exchange{Exchange: &confsyncpb.Exchange{
			State:  stateToWire(m.State),
			Cell:   m.Cell,
			Holder: m.Holder,
			Reply:  m.Reply,
		}}}
	case Pull:
		return &confsyncpb.Message{Kind: &confsyncpb.Message_Pull{Pull: &confsyncpb.Pull{Have: versionToWire(m.Have)}}}
	case Content:
		return &confsyncpb.Message{Kind: &confsyncpb.Message_Content{Content: &confsyncpb.Content{
			Version: versionToWire(m.Version),
			Base:    versionToWire(m.Base),
			Data:    m.Data,
		}}}
	default:
		return &confsyncpb.Message{}
	}
}

func exchangeFromWire(m *confsyncpb.Exchange) Exchange {
	return Exchange{
		State: State{
			Revision: m.GetState().GetRevision(),
			Tag:      m.GetState().GetTag(),
			Disputed: m.GetState().GetDisputed(),
		},
		Cell:   m.GetCell(),
		Holder: m.GetHolder(),
		Reply:  m.GetReply(),
	}
}

// WireSize returns the length of the wire encoding of a state, in bytes.
func (s State) WireSize() int {
	return proto.Size(stateToWire(s))
}

func stateToWire(s State) *confsyncpb.State {
	return &confsyncpb.State{Revision: s.Revision, Tag: s.Tag, Disputed: s.Disputed}
}

func contentFromWire(m *confsyncpb.Content) Content {
	return Content{
		Version: versionFromWire(m.GetVersion()),
		Base:    versionFromWire(m.GetBase()),
		Data:    m.GetData(),
	}
}

func versionToWire(v Version) *confsyncpb.Version {
	if v.Revision == 0 {
		return nil
	}
	return &confsyncpb.Version{Revision: v.Revision, Id: v.ID}
}

func versionFromWire(v *confsyncpb.Version) Version {
	return Version{Revision: v.GetRevision(), ID: v.GetId()}
}
