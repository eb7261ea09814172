package admission

import (
	"testing"
	"time"
)

// Guards against sending a request that would be cut off by the end of the process, and against refusing one for which
// there is time.
func TestFitsBeforeStop(t *testing.T) {
	const end, runTime = 5000 * ms, 300 * ms
	cases := []struct {
		now, wait int
		want      bool
	}{
		{0, 0, true},
		{4000, 0, true},
		{4000, 400, true},
		{4000, 500, false},
		{4500, 0, false},
		{5100, 0, false},
	}
	for _, c := range cases {
		if got := FitsBeforeStop(end, ms*time.Duration(c.now), ms*time.Duration(c.wait), runTime); got != c.want {
			t.Errorf("at %d ms with a wait of %d ms: %v, want %v", c.now, c.wait, got, c.want)
		}
	}
}
