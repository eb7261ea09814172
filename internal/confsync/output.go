package confsync

// Output is what the caller does after an input, in this order of its fields.
type Output struct {
	// InForce is set if another document came in force.
	InForce *Document
	// Held is set if the gateway holds another document. The caller computes the Topology anew from it.
	Held     *Document
	Messages []Send
	Store    []StoreRequest
	Notes    []Note
}

// Send is a message to the gateway of a host. Messages may be lost.
type Send struct {
	To      string
	Message Message
}

// Note tells a condition for the time line and the log.
type Note struct {
	Kind    NoteKind
	Version Version
	// Other is the version on the other side, if the condition has one.
	Other Version
}

// NoteKind names a condition.
type NoteKind string

// Conditions.
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

func (o *Output) note(kind NoteKind, v, other Version) {
	o.Notes = append(o.Notes, Note{Kind: kind, Version: v, Other: other})
}
