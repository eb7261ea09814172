package ownership

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Delta returns the rows that differ from an earlier table. Of former holders it contains only whether there are any.
func (t *Table) Delta(before *Table) *wire.OwnershipDelta {
	beforeByKeys := make(map[Keys]Row, len(before.Rows))
	for _, row := range before.Rows {
		beforeByKeys[row.Keys] = row
	}
	delta := &wire.OwnershipDelta{}
	numbers := make(map[Holder]uint32)
	for _, row := range t.Rows {
		if previous, ok := beforeByKeys[row.Keys]; ok && previous.Owner == row.Owner &&
			previous.Token == row.Token && previous.Moving == row.Moving &&
			(len(previous.Former) > 0) == (len(row.Former) > 0) {
			continue
		}
		delta.Rows = append(delta.Rows, &wire.DeltaRow{
			First:  uint32(row.First),
			Last:   uint32(row.Last),
			Owner:  holderNumber(delta, numbers, row.Owner),
			Token:  uint64(row.Token),
			Moving: row.Moving,
			Former: len(row.Former) > 0,
		})
	}
	return delta
}

// holderNumber returns the number of a holder in a delta, adding the holder if necessary. It returns 0 for no holder.
func holderNumber(delta *wire.OwnershipDelta, numbers map[Holder]uint32, holder Holder) uint32 {
	if holder.IsZero() {
		return 0
	}
	if number, ok := numbers[holder]; ok {
		return number
	}
	delta.Holders = append(delta.Holders, &wire.OwnershipHolder{
		Id: holder.ID, Born: holder.StartedAtMs, Addr: holder.Addr,
	})
	numbers[holder] = uint32(len(delta.Holders))
	return numbers[holder]
}

// Patch returns the table that results from applying a delta. It fails unless the result covers the same keys as t.
func (t *Table) Patch(delta *wire.OwnershipDelta) (*Table, error) {
	patched := &Table{NextToken: t.NextToken, Era: t.Era}
	for _, encoded := range delta.Rows {
		row := Row{
			Keys: Keys{First: int(encoded.First), Last: int(encoded.Last)}, Token: Token(encoded.Token), Moving: encoded.Moving,
		}
		if encoded.Former {
			row.Former = []FormerHolder{unknownFormer}
		}
		if number := int(encoded.Owner); number > len(delta.Holders) {
			return nil, errors.Wrapf(ErrInvalidTable, "holder number %d out of range, delta has %d holders",
				number, len(delta.Holders))
		} else if number > 0 {
			holder := delta.Holders[number-1]
			row.Owner = Holder{ID: holder.Id, StartedAtMs: holder.Born, Addr: holder.Addr}
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
	return patched, patched.checkCoverage(t)
}

// checkCoverage returns an error unless the rows cover each key of the other table exactly once.
func (t *Table) checkCoverage(other *Table) error {
	next := 0
	for _, row := range t.Rows {
		if row.First != next || row.Last < row.First {
			return errors.Wrapf(ErrInvalidTable, "row %v of patched table does not begin at key %d", row.Keys, next)
		}
		next = row.Last + 1
	}
	if len(other.Rows) > 0 && next != other.Rows[len(other.Rows)-1].Last+1 {
		return errors.Wrapf(ErrInvalidTable, "rows of patched table cover %d keys", next)
	}
	return nil
}
