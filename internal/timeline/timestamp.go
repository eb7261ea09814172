package timeline

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// counterBits is the number of low bits of a Timestamp that hold the counter, which orders events within the same
// microsecond. The remaining 52 bits hold microseconds since the Unix epoch, which suffices until the year 2112.
const counterBits = 12

// ErrInvalidTimestamp is returned by ParseTimestamp for malformed text.
var ErrInvalidTimestamp = errors.New("invalid hybrid timestamp; expected the form 2026-12-04T04:20:40.123456Z/3")

// timestampLayout has a fixed width, so that the text of timestamps sorts by wall-clock time.
const timestampLayout = "2006-01-02T15:04:05.000000Z"

// Timestamp is a hybrid logical timestamp: wall-clock microseconds in the high bits and a counter in the low bits.
// Timestamps of causally related events increase even if the wall clocks of their hosts differ. They are ordered as
// integers.
type Timestamp uint64

// FromTime returns the Timestamp of t, truncated to microseconds, with counter 0. Times before the Unix epoch give 0.
func FromTime(t time.Time) Timestamp {
	return Timestamp(max(t.UnixMicro(), 0)) << counterBits
}

// Wall returns the wall-clock part in UTC.
func (t Timestamp) Wall() time.Time {
	return time.UnixMicro(int64(t >> counterBits)).UTC()
}

// Logical returns the counter within the microsecond.
func (t Timestamp) Logical() uint16 {
	return uint16(t & (1<<counterBits - 1))
}

// String returns the wall-clock part in UTC and the counter, separated by a slash.
func (t Timestamp) String() string {
	return t.Wall().Format(timestampLayout) + "/" + strconv.Itoa(int(t.Logical()))
}

// ParseTimestamp parses the format of Timestamp.String.
func ParseTimestamp(text string) (Timestamp, error) {
	wallText, logicalText, found := strings.Cut(text, "/")
	wall, err := time.Parse(timestampLayout, wallText)
	if !found || err != nil {
		return 0, errors.Wrapf(ErrInvalidTimestamp, "%q", text)
	}
	logical, err := strconv.ParseUint(logicalText, 10, counterBits)
	if err != nil {
		return 0, errors.Wrapf(ErrInvalidTimestamp, "%q", text)
	}
	return FromTime(wall) | Timestamp(logical), nil
}

// MarshalText implements encoding.TextMarshaler.
func (t Timestamp) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Timestamp) UnmarshalText(text []byte) error {
	parsed, err := ParseTimestamp(string(text))
	*t = parsed
	return err
}
