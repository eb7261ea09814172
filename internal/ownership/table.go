package ownership

import (
	"sort"
	"time"
)

// Token is a fencing token. A backend server refuses a grant whose token is lower than one that it has seen for any of
// the keys.
type Token uint64

// Row assigns a range of keys to an owner.
type Row struct {
	Keys
	Owner Holder
	Token Token
	// Moving is true until the owner has confirmed its first grant. Requests are queued until then.
	Moving bool
	// Confirmed is true if no grant to the owner has an unknown outcome, so that the keys are free as soon as the owner
	// confirms a release. It is not recorded.
	Confirmed bool
	// Pinned is true if the planner must not change the row. It is not recorded.
	Pinned bool
	// Former lists earlier holders that may still hold the keys.
	Former []FormerHolder
}

// FormerHolder is an earlier holder of keys and the token of its last grant.
type FormerHolder struct {
	Holder
	Token Token
	// Unfenced is true if the holder has not confirmed a grant of the assigner that moved the keys away, so that an
	// assigner elected earlier may still renew its grant.
	Unfenced bool
	// HeldFor is for how long the holder may still hold the keys, counted from the time of the table. It is 0 if the table
	// does not state it.
	HeldFor time.Duration
	// UnconfirmedFor is for how long a grant with an unknown outcome may still take effect. Once it is over, the keys are
	// free as soon as the holder confirms a release.
	UnconfirmedFor time.Duration
}

// Table is the recorded ownership of the keys of one service. Its rows are sorted and cover every key.
type Table struct {
	// NextToken is higher than every token that was ever recorded.
	NextToken Token
	Rows      []Row
	// Hosts lists the hosts whose gateways may still act on this table or an earlier one, sorted by name.
	Hosts []ActiveHost
	// Writer is the host of the gateway that wrote the table, or empty if it is not known.
	Writer string
	// Era is the era of the store in which the table was written. A table that is found in a later era may lack the last
	// changes.
	Era uint64
}

// ActiveHost is the host of a gateway that is or was the elected one.
type ActiveHost struct {
	Name string
	// Grace is for how long the gateway may still act as the elected one, counted from the time of the table.
	Grace time.Duration
}

// Find returns the row that contains the key, or nil.
func (t *Table) Find(key int) *Row {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].Last >= key })
	if i == len(t.Rows) || !t.Rows[i].Contains(key) {
		return nil
	}
	return &t.Rows[i]
}
