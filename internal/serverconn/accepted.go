package serverconn

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// longestRoundTrip bounds the round trip that is taken from the time of a connection setup: on a busy host much of
// that time is spent waiting for the processor.
const longestRoundTrip = 5 * time.Millisecond

// accepted reports whether a new connection is still open a round trip after its setup. A backend server with too many
// connections resets new ones at once; a request that was written by then could not be sent elsewhere, because nobody
// knows whether it ran.
func accepted(tcp *net.TCPConn, setup, slack time.Duration) bool {
	if slack == 0 {
		return true
	}
	wait := min(setup, longestRoundTrip) + slack
	if err := tcp.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return false
	}
	var one [1]byte
	n, err := tcp.Read(one[:])
	// Bytes that nobody asked for make the connection useless too.
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}
