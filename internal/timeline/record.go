package timeline

// KindDropped is the kind of the event that stands for events that did not fit.
const KindDropped Kind = "timeline/dropped"

// Record is an event with its time, as it is written to a file: one JSON document per line.
type Record struct {
	At Timestamp `json:"at"`
	Event
}
