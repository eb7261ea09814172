package ownership

import "sort"

// Token is a fencing token. A backend server refuses a grant whose token is below one that it has seen on a key.
type Token uint64

// Row is the owner of a range of keys.
type Row struct {
	Keys
	Owner Holder
	Token Token
	// Moving is true until the owner has confirmed its first grant. Requests wait meanwhile.
	Moving bool
	// Confirmed is true if a release by the owner ends its hold at once. It is not recorded.
	Confirmed bool
	// Pinned is true if the planner leaves the row as it is. It is not recorded.
	Pinned bool
	// Former are earlier holders that may still hold the keys.
	Former []FormerHolder
}

// FormerHolder is an earlier holder of keys with its last token.
type FormerHolder struct {
	Holder
	Token Token
	// Unfenced is true if the holder has not answered a grant of the assigner that moved the keys away, so that one
	// elected before may still renew them.
	Unfenced bool
}

// Table is the recorded ownership of one service. Its rows are sorted and cover every key.
type Table struct {
	// NextToken is above every token that was ever recorded.
	NextToken Token
	Rows      []Row
	// Hosts are those whose gateways may still act on this table or an earlier one.
	Hosts []string
}

// Find returns the row of a key, or nil.
func (t *Table) Find(key int) *Row {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].Last >= key })
	if i == len(t.Rows) || !t.Rows[i].Contains(key) {
		return nil
	}
	return &t.Rows[i]
}
