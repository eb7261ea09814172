package ownership

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// holderIndex assigns numbers, starting at 1, to the holders of an encoded table.
type holderIndex struct {
	message *wire.OwnershipTable
	numbers map[Holder]uint32
}

// number returns the number of a holder, adding the holder if necessary. It returns 0 for no holder.
func (h *holderIndex) number(holder Holder) uint32 {
	if holder.IsZero() {
		return 0
	}
	number, known := h.numbers[holder]
	if !known {
		h.message.Holders = append(h.message.Holders, &wire.OwnershipHolder{
			Id: holder.ID, Born: holder.StartedAtMs, Addr: holder.Addr,
		})
		number = uint32(len(h.message.Holders))
		h.numbers[holder] = number
	}
	return number
}

// Encode returns the table in its stored form.
func (t *Table) Encode() ([]byte, error) {
	message := &wire.OwnershipTable{NextToken: uint64(t.NextToken), Writer: t.Writer, Era: t.Era}
	for _, host := range t.Hosts {
		message.Hosts = append(message.Hosts, host.Name)
		message.HostGraceMs = append(message.HostGraceMs, ceilMilliseconds(host.Grace))
	}
	holders := holderIndex{message: message, numbers: make(map[Holder]uint32)}
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
				HeldMs: ceilMilliseconds(former.HeldFor), UnconfirmedMs: ceilMilliseconds(former.UnconfirmedFor),
			})
		}
		message.Rows = append(message.Rows, encoded)
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return value, errors.Wrap(err, "encode ownership table")
}

// ceilMilliseconds rounds up, because a period that is stated too short would let two servers hold the same keys.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1).Milliseconds())
}

// DecodeTable decodes a stored table and checks that it covers the given number of keys.
func DecodeTable(value []byte, keys int) (*Table, error) {
	message := &wire.OwnershipTable{}
	if err := proto.Unmarshal(value, message); err != nil {
		return nil, errors.WithSecondaryError(ErrInvalidTable, err)
	}
	table := &Table{NextToken: Token(message.NextToken), Writer: message.Writer, Era: message.Era}
	hosts, err := decodeHosts(message)
	if err != nil {
		return nil, err
	}
	table.Hosts = hosts
	next := 0
	for _, encoded := range message.Rows {
		row, err := decodeRow(message, encoded, next)
		if err != nil {
			return nil, err
		}
		if row.Token >= table.NextToken {
			return nil, errors.Wrapf(ErrInvalidTable, "token %d of row %v is not below next token %d",
				row.Token, row.Keys, table.NextToken)
		}
		table.Rows = append(table.Rows, row)
		next = row.Last + 1
	}
	if next != keys {
		return nil, errors.Wrapf(ErrInvalidTable, "rows cover %d of %d keys", next, keys)
	}
	return table, nil
}

// unlimitedGrace is the grace period of hosts in tables that do not state it. The reader limits it to its own setting.
const unlimitedGrace = math.MaxUint32 * time.Millisecond

func decodeHosts(message *wire.OwnershipTable) ([]ActiveHost, error) {
	stated := len(message.HostGraceMs) > 0
	if stated && len(message.HostGraceMs) != len(message.Hosts) {
		return nil, errors.Wrapf(ErrInvalidTable, "%d hosts with %d grace periods", len(message.Hosts), len(message.HostGraceMs))
	}
	var hosts []ActiveHost
	for i, name := range message.Hosts {
		host := ActiveHost{Name: name, Grace: unlimitedGrace}
		if stated {
			host.Grace = time.Duration(message.HostGraceMs[i]) * time.Millisecond
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// decodeRow decodes the row whose first key is first.
func decodeRow(message *wire.OwnershipTable, encoded *wire.OwnershipRow, first int) (Row, error) {
	row := Row{
		Keys:   Keys{First: first, Last: int(encoded.Last)},
		Token:  Token(encoded.Token),
		Moving: encoded.Moving,
	}
	if row.Last < row.First {
		return Row{}, errors.Wrapf(ErrInvalidTable, "row %v ends before its first key", row.Keys)
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
			HeldFor:        time.Duration(former.HeldMs) * time.Millisecond,
			UnconfirmedFor: time.Duration(former.UnconfirmedMs) * time.Millisecond,
		})
	}
	return row, nil
}

func decodeHolder(message *wire.OwnershipTable, number uint32) (Holder, error) {
	if number == 0 {
		return Holder{}, nil
	}
	if int(number) > len(message.Holders) {
		return Holder{}, errors.Wrapf(ErrInvalidTable, "holder number %d out of range, table has %d holders",
			number, len(message.Holders))
	}
	holder := message.Holders[number-1]
	return Holder{ID: holder.Id, StartedAtMs: holder.Born, Addr: holder.Addr}, nil
}
