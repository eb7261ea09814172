package ownership

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Delta returns what has to change in an earlier table to come to this one, as far as traffic needs to know: former
// holders are left out.
func (t *Table) Delta(before *Table) *wire.OwnershipDelta {
	known := make(map[Keys]Row, len(before.Rows))
	for _, row := range before.Rows {
		known[row.Keys] = row
	}
	delta := &wire.OwnershipDelta{}
	numbers := make(map[Holder]uint32)
	for _, row := range t.Rows {
		if last, ok := known[row.Keys]; ok && last.Owner == row.Owner && last.Token == row.Token && last.Moving == row.Moving {
			continue
		}
		delta.Rows = append(delta.Rows, &wire.DeltaRow{
			First:  uint32(row.First),
			Last:   uint32(row.Last),
			Owner:  holderNumber(delta, numbers, row.Owner),
			Token:  uint64(row.Token),
			Moving: row.Moving,
		})
	}
	return delta
}

// holderNumber returns the number of a holder in a delta, and 0 for none.
func holderNumber(delta *wire.OwnershipDelta, numbers map[Holder]uint32, holder Holder) uint32 {
	if holder.IsZero() {
		return 0
	}
	if number, ok := numbers[holder]; ok {
		return number
	}
	delta.Holders = append(delta.Holders, &wire.OwnershipHolder{Id: holder.ID, Born: holder.Born, Addr: holder.Addr})
	numbers[holder] = uint32(len(delta.Holders))
	return numbers[holder]
}

// Patch returns the table that a delta leads to. The rows of the result cover the same keys as before.
func (t *Table) Patch(delta *wire.OwnershipDelta) (*Table, error) {
	patched := &Table{NextToken: t.NextToken}
	for _, encoded := range delta.Rows {
		row := Row{
			Keys: Keys{First: int(encoded.First), Last: int(encoded.Last)}, Token: Token(encoded.Token), Moving: encoded.Moving,
		}
		if number := int(encoded.Owner); number > len(delta.Holders) {
			return nil, errors.Wrapf(ErrInvalidTable, "holder %d of %d in a change", number, len(delta.Holders))
		} else if number > 0 {
			holder := delta.Holders[number-1]
			row.Owner = Holder{ID: holder.Id, Born: holder.Born, Addr: holder.Addr}
		}
		patched.Rows = append(patched.Rows, row)
		patched.NextToken = max(patched.NextToken, row.Token+1)
	}
	changed := len(patched.Rows)
	for _, row := range t.Rows {
		replaced := slices.ContainsFunc(patched.Rows[:changed], func(r Row) bool { return r.Overlaps(row.Keys) })
		if !replaced {
			patched.Rows = append(patched.Rows, row)
		}
	}
	slices.SortFunc(patched.Rows, func(a, b Row) int { return cmp.Compare(a.First, b.First) })
	return patched, patched.check(t)
}

// check returns an error unless the rows cover the same keys as those of another table, each once.
func (t *Table) check(other *Table) error {
	next := 0
	for _, row := range t.Rows {
		if row.First != next || row.Last < row.First {
			return errors.Wrapf(ErrInvalidTable, "row %v after a change does not begin at key %d", row.Keys, next)
		}
		next = row.Last + 1
	}
	if len(other.Rows) > 0 && next != other.Rows[len(other.Rows)-1].Last+1 {
		return errors.Wrapf(ErrInvalidTable, "rows after a change end at key %d", next)
	}
	return nil
}
