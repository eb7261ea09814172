package timeline

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// logicalBits is the part of a Timestamp that orders events of the same microsecond. The remaining 52 bits hold
// microseconds since the Unix epoch until the year 2112.
const logicalBits = 12

// ErrInvalidTimestamp is the error of ParseTimestamp.
var ErrInvalidTimestamp = errors.New("not a hybrid timestamp; expected for example 2026-12-04T04:20:40.123456Z/3")

// timestampLayout has a fixed width, so that the text form sorts like the timestamp.
const timestampLayout = "2006-01-02T15:04:05.000000Z"

// Timestamp is a hybrid logical time: microseconds of the wall clock, and a counter below them. Timestamps of
// causally related events increase, even if the wall clocks differ. They compare as numbers.
type Timestamp uint64

// FromTime returns the first Timestamp of the microsecond of t.
func FromTime(t time.Time) Timestamp {
	return Timestamp(max(t.UnixMicro(), 0)) << logicalBits
}

// Wall returns the wall clock part.
func (t Timestamp) Wall() time.Time {
	return time.UnixMicro(int64(t >> logicalBits)).UTC()
}

// Logical returns the counter within the microsecond.
func (t Timestamp) Logical() uint16 {
	return uint16(t & (1<<logicalBits - 1))
}

// String returns the wall clock part in UTC, and the counter after a slash.
func (t Timestamp) String() string {
	return t.Wall().Format(timestampLayout) + "/" + strconv.Itoa(int(t.Logical()))
}

// ParseTimestamp reads the text form of String.
func ParseTimestamp(text string) (Timestamp, error) {
	wallText, logicalText, found := strings.Cut(text, "/")
	wall, err := time.Parse(timestampLayout, wallText)
	if !found || err != nil {
		return 0, errors.Wrapf(ErrInvalidTimestamp, "%q", text)
	}
	logical, err := strconv.ParseUint(logicalText, 10, logicalBits)
	if err != nil {
		return 0, errors.Wrapf(ErrInvalidTimestamp, "%q", text)
	}
	return FromTime(wall) | Timestamp(logical), nil
}

// MarshalText writes the text form.
func (t Timestamp) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText reads the text form.
func (t *Timestamp) UnmarshalText(text []byte) error {
	parsed, err := ParseTimestamp(string(text))
	*t = parsed
	return err
}
