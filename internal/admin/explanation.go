package admin

import "github.com/sapphireplank/sapphireplank/internal/timeline"

// Explanation says what happened to a request.
type Explanation struct {
	Request string `json:"request"`
	// Outcome is not-run, unknown or ran.
	Outcome string `json:"outcome"`
	// Summary is a short text.
	Summary string           `json:"summary"`
	Events  []timeline.Event `json:"events"`
}
