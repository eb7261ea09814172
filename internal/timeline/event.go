// Package timeline records structured events of all processes and merges them into one order.
package timeline

// Kind names what happened, as part/condition, for example "cell/holder-changed".
type Kind string

// Event is one entry of the time line. Empty fields do not apply.
type Event struct {
	Kind    Kind   `json:"kind"`
	Host    string `json:"host,omitempty"`
	Cell    string `json:"cell,omitempty"`
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
	Key     string `json:"key,omitempty"`
	Request string `json:"request,omitempty"`
	// Detail is a short sentence.
	Detail string `json:"detail,omitempty"`
}

// Recorder takes events. Record never blocks; events that do not fit are dropped and counted.
type Recorder interface {
	Record(Event)
}

// Discard is a Recorder that keeps nothing.
type Discard struct{}

// Record drops the event.
func (Discard) Record(Event) {}
