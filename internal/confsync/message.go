package confsync

// Message is a message between gateways.
type Message interface {
	message()
}

// Exchange carries the state of the sender. Unless Reply is set, it also requests the state of the receiver.
type Exchange struct {
	State State
	// Cell and Holder name the sender's cell and its holder, so that the next round can query that holder directly.
	Cell   string
	Holder string
	Reply  bool
}

// Pull requests the document that the receiver holds.
type Pull struct {
	// Have is the version that the sender holds. The response may be a patch against it.
	Have Version
}

// Content is the response to a pull.
type Content struct {
	Version Version
	// Base is the version that Data, a patch, applies to. If its revision is 0, Data is the full document.
	Base Version
	Data []byte
}

func (Exchange) message() {}
func (Pull) message()     {}
func (Content) message()  {}
