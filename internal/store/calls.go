package store

// Call is a kind of call to the store.
type Call string

// Kinds of calls.
const (
	CallGet            Call = "get"
	CallCompareAndSwap Call = "compare-and-swap"
	CallWatch          Call = "watch"
	CallAcquire        Call = "acquire"
	CallRenew          Call = "renew"
)

// CallCounts counts calls by kind. A watch counts once, however long it waits.
type CallCounts struct {
	Get            uint64
	CompareAndSwap uint64
	Watch          uint64
	Acquire        uint64
	Renew          uint64
}

// Total returns the number of calls of all kinds.
func (c CallCounts) Total() uint64 {
	return c.Get + c.CompareAndSwap + c.Watch + c.Acquire + c.Renew
}

// Reads returns the number of calls that count against the store's read capacity.
func (c CallCounts) Reads() uint64 { return c.Get + c.Watch }

// Writes returns the number of calls that count against the store's write capacity.
func (c CallCounts) Writes() uint64 { return c.CompareAndSwap + c.Acquire + c.Renew }

func (c *CallCounts) add(call Call) {
	switch call {
	case CallGet:
		c.Get++
	case CallCompareAndSwap:
		c.CompareAndSwap++
	case CallWatch:
		c.Watch++
	case CallAcquire:
		c.Acquire++
	case CallRenew:
		c.Renew++
	}
}
