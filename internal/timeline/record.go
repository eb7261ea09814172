package timeline

// KindDropped is the kind of the event that reports dropped events.
const KindDropped Kind = "timeline/dropped"

// Record is an event with its timestamp. Files hold one record per line as a JSON document.
type Record struct {
	At Timestamp `json:"at"`
	Event
}
