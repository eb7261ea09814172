package relay

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Guards against request counts that diverge from those of the elected gateway after a sequence of incremental changes.
func TestLoadChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.MapOf(rapid.Uint32Range(1, 9), rapid.IntRange(1, 4))
		known := counts.Draw(t, "first")
		view := maps.Clone(known)
		for range rapid.IntRange(0, 6).Draw(t, "rounds") {
			next := counts.Draw(t, "next")
			ApplyLoadChanges(view, DecodeLoads(EncodeLoads(LoadChanges(known, next))))
			known = next
			if !maps.Equal(view, known) {
				t.Fatalf("view %v, want %v", view, known)
			}
		}
	})
}
