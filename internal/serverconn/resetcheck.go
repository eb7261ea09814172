package serverconn

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRoundTrip caps the round-trip time that is estimated from the duration of the connection setup: on a busy host
// most of that duration is spent waiting for the CPU.
const maxRoundTrip = 5 * time.Millisecond

// staysOpen reports whether a new connection is still open one round trip after its setup. A backend server that has
// reached its connection limit resets new connections immediately. If the request had been written by then, it could
// not be sent to another backend server, because it would be unknown whether it was executed.
func staysOpen(tcp *net.TCPConn, setup, margin time.Duration) bool {
	if margin == 0 {
		return true
	}
	wait := min(setup, maxRoundTrip) + margin
	if err := tcp.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return false
	}
	var buffer [1]byte
	n, err := tcp.Read(buffer[:])
	// Unsolicited bytes make the connection unusable as well.
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}
