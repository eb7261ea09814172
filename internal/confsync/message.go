package confsync

// Message is a message between two gateways.
type Message interface {
	message()
}

// Exchange tells the sender's state. Without Reply it asks for the state of the receiver.
type Exchange struct {
	State State
	// Cell and Holder tell where the sender's cell is led, so that the next round can ask the holder.
	Cell   string
	Holder string
	Reply  bool
}

// Pull asks for the greatest document of the receiver.
type Pull struct {
	// Have is what the sender holds. The answer may be a patch of it.
	Have Version
}

// Content answers a pull.
type Content struct {
	Version Version
	// Base is the version to which Data is a patch. Revision 0 means that Data is the whole document.
	Base Version
	Data []byte
}

func (Exchange) message() {}
func (Pull) message()     {}
func (Content) message()  {}
