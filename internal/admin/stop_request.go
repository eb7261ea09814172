package admin

import "time"

// StopRequest is the body of a request that announces a planned stop.
type StopRequest struct {
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	// ForSeconds is the announced duration in seconds.
	ForSeconds int64 `json:"for_seconds"`
}
