package relay

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Guards against gateways whose request counts diverge from those of the elected one, whenever they connected and whatever
// servers join, and against messages that repeat what is known.
func TestLoadMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender LoadSender
		receivers := []*LoadReceiver{{}}
		known := []uint32{1, 2, 3}
		var last map[uint32]int
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			loads := rapid.MapOf(rapid.Uint32Range(1, 9), rapid.IntRange(1, 30)).Draw(t, "loads")
			changed := rapid.Bool().Draw(t, "servers changed")
			if changed {
				known = append(known, rapid.Uint32Range(1, 12).Draw(t, "server"))
			}
			message := sender.Next(loads, changed, func() []uint32 { return known })
			if message == nil && !maps.Equal(loads, last) {
				t.Fatalf("no message although %v changed to %v", last, loads)
			}
			last = loads
			if rapid.Bool().Draw(t, "another gateway connects") {
				receiver := &LoadReceiver{}
				if _, err := receiver.Receive(sender.Full()); err != nil {
					t.Fatal(err)
				}
				receivers = append(receivers, receiver)
			}
			for _, receiver := range receivers {
				if message == nil {
					continue
				}
				if got, err := receiver.Receive(message); err != nil || !maps.Equal(got, loads) {
					t.Fatalf("%v, %v, want %v", got, err, loads)
				}
			}
		}
	})
}
