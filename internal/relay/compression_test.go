package relay

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Guards against messages that differ after their transfer, short and long ones, and against long ones that are not compressed.
func TestMessages(t *testing.T) {
	for _, size := range []int{0, compressAboveBytes / 2, 100 * compressAboveBytes} {
		sent := &wire.RelayDown{AsOf: 7, Items: []*wire.RelayItem{{Key: "k", Value: []byte(strings.Repeat("value ", size/6))}}}
		encoded, err := Encode(sent)
		if err != nil {
			t.Fatal(err)
		}
		if size > compressAboveBytes && len(encoded) > size/10 {
			t.Errorf("%d bytes encoded as %d", size, len(encoded))
		}
		got, err := readMessage(bytes.NewReader(encoded))
		if err != nil || !proto.Equal(got, sent) {
			t.Errorf("size %d: %v", size, err)
		}
	}
}

// Guards against a peer that fills the memory with a short message, and against a panic on bytes that are no message.
func TestInvalidMessages(t *testing.T) {
	huge, err := compress(make([]byte, 20*wire.MaxFrameBytes))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readMessage(bytes.NewReader(wire.AppendFrame(nil, wire.FrameCompressedRelay, huge))); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("%v, want %v", err, ErrMessageTooLarge)
	}
	for name, frame := range map[string][]byte{
		"garbage":    wire.AppendFrame(nil, wire.FrameCompressedRelay, []byte("garbage")),
		"other type": wire.AppendFrame(nil, wire.FrameBody, nil),
		"cut off":    wire.AppendFrame(nil, wire.FrameCompressedRelay, huge)[:20],
	} {
		if message, err := readMessage(bytes.NewReader(frame)); err == nil {
			t.Errorf("%s is taken for %v", name, message)
		}
	}
}
