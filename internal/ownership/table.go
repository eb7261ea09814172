package ownership

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
)

// Token is a fencing token. A backend server refuses a grant whose token is below one that it has seen on a key.
type Token uint64

// Row is the owner of a range of keys.
type Row struct {
	Keys
	Owner Holder `json:"owner"`
	Token Token  `json:"token"`
	// Moving is true until the owner has confirmed its first grant. Requests wait meanwhile.
	Moving bool `json:"moving,omitempty"`
	// Former are earlier holders that may still hold the keys.
	Former []FormerHolder `json:"former,omitempty"`
}

// FormerHolder is an earlier holder of keys with its last token.
type FormerHolder struct {
	Holder
	Token Token `json:"token"`
}

// Table is the recorded ownership of one service. Its rows are sorted and cover every key.
type Table struct {
	// NextToken is above every token that was ever recorded.
	NextToken Token `json:"next_token"`
	Rows      []Row `json:"rows"`
}

// Find returns the row of a key, or nil.
func (t *Table) Find(key int) *Row {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].Last >= key })
	if i == len(t.Rows) || !t.Rows[i].Contains(key) {
		return nil
	}
	return &t.Rows[i]
}

// Encode returns the stored form of the table.
func (t *Table) Encode() ([]byte, error) {
	value, err := json.Marshal(t)
	return value, errors.Wrap(err, "encode the ownership table")
}

// DecodeTable reads the stored form of a table that covers the given number of keys.
func DecodeTable(value []byte, keys int) (*Table, error) {
	var table Table
	if err := json.Unmarshal(value, &table); err != nil {
		return nil, errors.WithSecondaryError(ErrTable, err)
	}
	next := 0
	for _, row := range table.Rows {
		if row.First != next || row.Last < row.First {
			return nil, errors.Wrapf(ErrTable, "row %v does not begin at key %d", row.Keys, next)
		}
		if row.Token >= table.NextToken {
			return nil, errors.Wrapf(ErrTable, "token %d of row %v is not below %d", row.Token, row.Keys, table.NextToken)
		}
		next = row.Last + 1
	}
	if next != keys {
		return nil, errors.Wrapf(ErrTable, "rows end at key %d of %d", next, keys)
	}
	return &table, nil
}
