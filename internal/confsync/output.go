package confsync

// Output lists the actions that the caller must perform after an input, in the order of the fields.
type Output struct {
	// InForce is set if another document was put in force.
	InForce *Document
	// Held is set if the gateway now holds another document. The caller recomputes the Topology from it.
	Held     *Document
	Messages []Send
	Store    []StoreRequest
	Notes    []Note
}

// Send is a message to the gateway on a host. Delivery is not guaranteed.
type Send struct {
	To      string
	Message Message
}

// Note is an event for the time line and the log.
type Note struct {
	Kind    NoteKind
	Version Version
	// Other is the second version that the event refers to, if any.
	Other Version
}

// NoteKind is the kind of an event.
type NoteKind string

// Kinds of events.
const (
	NoteInForce      NoteKind = "config/in-force"
	NoteUnconfirmed  NoteKind = "config/in-force-unconfirmed"
	NoteStoreSmaller NoteKind = "config/store-smaller"
	NoteWriteBack    NoteKind = "config/written-back"
	NoteDisputed     NoteKind = "config/disputed"
	NoteRebased      NoteKind = "config/rebased"
	NoteBadPatch     NoteKind = "config/bad-patch"
)

func (o *Output) send(to string, m Message) {
	o.Messages = append(o.Messages, Send{To: to, Message: m})
}

func (o *Output) addEvent(kind NoteKind, v, other Version) {
	o.Notes = append(o.Notes, Note{Kind: kind, Version: v, Other: other})
}
