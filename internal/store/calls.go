package store

// Call names an operation of Store.
type Call string

// The operations of Store.
const (
	CallGet            Call = "get"
	CallCompareAndSwap Call = "compare-and-swap"
	CallWatch          Call = "watch"
	CallAcquire        Call = "acquire"
	CallRenew          Call = "renew"
)

// Calls counts calls by operation. A watch counts as one call, however long it blocks.
type Calls struct {
	Get            uint64
	CompareAndSwap uint64
	Watch          uint64
	Acquire        uint64
	Renew          uint64
}

// Total returns the number of calls of all operations.
func (c Calls) Total() uint64 {
	return c.Get + c.CompareAndSwap + c.Watch + c.Acquire + c.Renew
}

// Reads returns the number of calls that count against the store's read capacity.
func (c Calls) Reads() uint64 { return c.Get + c.Watch }

// Writes returns the number of calls that count against the store's write capacity.
func (c Calls) Writes() uint64 { return c.CompareAndSwap + c.Acquire + c.Renew }

func (c *Calls) add(call Call) {
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
