package entrynode

import "testing"

// Guards against a gateway that does not start because the platform has no value for a placeholder of the template.
func TestPlaceholderCountsAsAbsent(t *testing.T) {
	for text, want := range map[string]bool{"{{bounds.x}}": true, "5000": false, "": false, "{{": false, "{{a}} b": false} {
		if got := isPlaceholder(text); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}
