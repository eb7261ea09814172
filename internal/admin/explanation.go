package admin

import "github.com/sapphireplank/sapphireplank/internal/timeline"

// Explanation is the recorded history of a request.
type Explanation struct {
	Request string `json:"request"`
	// Outcome is one of not-run, unknown and ran.
	Outcome string `json:"outcome"`
	// Summary describes the outcome in a short text.
	Summary string           `json:"summary"`
	Events  []timeline.Event `json:"events"`
}
