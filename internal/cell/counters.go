package cell

// Counters holds the control traffic of one node since its start. Bytes include the framing of each message.
type Counters struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
	StoreCalls       uint64
}
