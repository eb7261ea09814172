package ownership

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// holderList numbers the holders of a table from 1.
type holderList struct {
	message *wire.OwnershipTable
	numbers map[Holder]uint32
}

// number returns the number of a holder, and 0 for none.
func (l *holderList) number(holder Holder) uint32 {
	if holder.IsZero() {
		return 0
	}
	number, known := l.numbers[holder]
	if !known {
		l.message.Holders = append(l.message.Holders, &wire.OwnershipHolder{
			Id: holder.ID, Born: holder.Born, Addr: holder.Addr,
		})
		number = uint32(len(l.message.Holders))
		l.numbers[holder] = number
	}
	return number
}

// Encode returns the stored form of the table.
func (t *Table) Encode() ([]byte, error) {
	message := &wire.OwnershipTable{NextToken: uint64(t.NextToken), Hosts: t.Hosts}
	holders := holderList{message: message, numbers: make(map[Holder]uint32)}
	for _, row := range t.Rows {
		encoded := &wire.OwnershipRow{
			Last:   uint32(row.Last),
			Owner:  holders.number(row.Owner),
			Token:  uint64(row.Token),
			Moving: row.Moving,
		}
		for _, former := range row.Former {
			encoded.Former = append(encoded.Former, &wire.OwnershipFormer{
				Holder: holders.number(former.Holder), Token: uint64(former.Token), Unfenced: former.Unfenced,
			})
		}
		message.Rows = append(message.Rows, encoded)
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return value, errors.Wrap(err, "encode the ownership table")
}

// DecodeTable reads the stored form of a table that covers the given number of keys.
func DecodeTable(value []byte, keys int) (*Table, error) {
	message := &wire.OwnershipTable{}
	if err := proto.Unmarshal(value, message); err != nil {
		return nil, errors.WithSecondaryError(ErrInvalidTable, err)
	}
	table := &Table{NextToken: Token(message.NextToken), Hosts: message.Hosts}
	next := 0
	for _, encoded := range message.Rows {
		row, err := decodeRow(message, encoded, next)
		if err != nil {
			return nil, err
		}
		if row.Token >= table.NextToken {
			return nil, errors.Wrapf(ErrInvalidTable, "token %d of row %v is not below %d", row.Token, row.Keys, table.NextToken)
		}
		table.Rows = append(table.Rows, row)
		next = row.Last + 1
	}
	if next != keys {
		return nil, errors.Wrapf(ErrInvalidTable, "rows end at key %d of %d", next, keys)
	}
	return table, nil
}

// decodeRow reads the row that begins at a key.
func decodeRow(message *wire.OwnershipTable, encoded *wire.OwnershipRow, first int) (Row, error) {
	row := Row{
		Keys:   Keys{First: first, Last: int(encoded.Last)},
		Token:  Token(encoded.Token),
		Moving: encoded.Moving,
	}
	if row.Last < row.First {
		return Row{}, errors.Wrapf(ErrInvalidTable, "row %v ends before it begins", row.Keys)
	}
	var err error
	if row.Owner, err = decodeHolder(message, encoded.Owner); err != nil {
		return Row{}, err
	}
	for _, former := range encoded.Former {
		holder, err := decodeHolder(message, former.Holder)
		if err != nil {
			return Row{}, err
		}
		row.Former = append(row.Former, FormerHolder{
			Holder: holder, Token: Token(former.Token), Unfenced: former.Unfenced,
		})
	}
	return row, nil
}

func decodeHolder(message *wire.OwnershipTable, number uint32) (Holder, error) {
	if number == 0 {
		return Holder{}, nil
	}
	if int(number) > len(message.Holders) {
		return Holder{}, errors.Wrapf(ErrInvalidTable, "holder %d of %d", number, len(message.Holders))
	}
	holder := message.Holders[number-1]
	return Holder{ID: holder.Id, Born: holder.Born, Addr: holder.Addr}, nil
}
