package dev

import (
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"time"
)

// newIdentity returns a random UUID of version 7, whose first 48 bits are the Unix time in milliseconds.
func newIdentity(random *rand.Rand, now time.Time) string {
	var b [16]byte
	ms := uint64(now.UnixMilli())
	for i := range 6 {
		b[i] = byte(ms >> (40 - 8*i))
	}
	high, low := random.Uint64(), random.Uint64()
	for i := range 2 {
		b[6+i] = byte(high >> (8 * i))
	}
	for i := range 8 {
		b[8+i] = byte(low >> (8 * i))
	}
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	text := hex.EncodeToString(b[:])
	return text[:8] + "-" + text[8:12] + "-" + text[12:16] + "-" + text[16:20] + "-" + text[20:]
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
