// Package timeline records structured events with hybrid logical timestamps, so that the events of several processes
// can be merged in causal order.
package timeline

// Kind identifies the type of an event as component/condition, for example "cell/holder-changed".
type Kind string

// Event is one entry of the timeline. Fields that do not apply are empty.
type Event struct {
	Kind    Kind   `json:"kind"`
	Host    string `json:"host,omitempty"`
	Cell    string `json:"cell,omitempty"`
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
	Key     string `json:"key,omitempty"`
	Request string `json:"request,omitempty"`
	// Detail describes the event in a short sentence.
	Detail string `json:"detail,omitempty"`
}

// Recorder records events. Record never blocks; if the output falls behind, events are dropped and counted.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that drops all events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}
