package confsync

// Output lists the actions that the caller must perform after an input, in the order of the fields.
type Output struct {
	// InForce is set if another document was put in force.
	InForce *Document
	// Held is set if the gateway now holds another document. The caller recomputes the Topology from it.
	Held     *Document
	Messages []OutgoingMessage
	Store    []StoreRequest
	Events   []Event
}

// OutgoingMessage is a message to the gateway on a host. Delivery is not guaranteed.
type OutgoingMessage struct {
	To      string
	Message Message
}

// Event is an event for the time line and the log.
type Event struct {
	Kind    EventKind
	Version Version
	// Other is the second version that the event refers to, if any.
	Other Version
}

// EventKind is the kind of an event.
type EventKind string

// Kinds of events.
const (
	EventInForce            EventKind = "config/in-force"
	EventInForceUnconfirmed EventKind = "config/in-force-unconfirmed"
	EventStoreSmaller       EventKind = "config/store-smaller"
	EventWrittenBack        EventKind = "config/written-back"
	EventDisputed           EventKind = "config/disputed"
	EventRebased            EventKind = "config/rebased"
	EventBadPatch           EventKind = "config/bad-patch"
)

func (o *Output) send(to string, m Message) {
	o.Messages = append(o.Messages, OutgoingMessage{To: to, Message: m})
}

func (o *Output) addEvent(kind EventKind, v, other Version) {
	o.Events = append(o.Events, Event{Kind: kind, Version: v, Other: other})
}
