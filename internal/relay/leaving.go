package relay

import (
	"github.com/sapphireplank/sapphireplank/internal/directory"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// EncodeLeaving encodes the backend servers that leave.
func EncodeLeaving(leaving []directory.Incarnation) []*wire.ServerIncarnation {
	var messages []*wire.ServerIncarnation
	for _, incarnation := range leaving {
		messages = append(messages, &wire.ServerIncarnation{Id: incarnation.ID, StartedAtMs: incarnation.StartedAtMs})
	}
	return messages
}

// DecodeLeaving decodes the backend servers that leave.
func DecodeLeaving(messages []*wire.ServerIncarnation) []directory.Incarnation {
	var leaving []directory.Incarnation
	for _, message := range messages {
		leaving = append(leaving, directory.Incarnation{ID: message.GetId(), StartedAtMs: message.GetStartedAtMs()})
	}
	return leaving
}
