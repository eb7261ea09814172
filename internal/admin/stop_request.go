package admin

import "time"

// StopRequest is the body of an announcement.
type StopRequest struct {
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	// ForSeconds is the announced length, in seconds.
	ForSeconds int64 `json:"for_seconds"`
}
