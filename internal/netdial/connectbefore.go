package netdial

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/boottime"
)

// ErrNotConnected means that no connection was made, so nothing was sent.
var ErrNotConnected = errors.New("not connected")

type connectBeforeKey struct{}

// ConnectBefore returns a context in which Settings.DialContext fails unless the connection is made before a point in
// boot time.
func ConnectBefore(ctx context.Context, end time.Duration) context.Context {
	return context.WithValue(ctx, connectBeforeKey{}, end)
}

// DialContext dials with the limits of the settings and those of ConnectBefore. Its errors are ErrNotConnected.
func (s Settings) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := s.Dialer().DialContext(ctx, network, addr)
	if err != nil {
		return nil, errors.Mark(err, ErrNotConnected)
	}
	end, limited := ctx.Value(connectBeforeKey{}).(time.Duration)
	if limited && boottime.Now() >= end {
		// The connection is not used, so an error has no consequence.
		_ = conn.Close()
		return nil, errors.Wrapf(ErrNotConnected, "connection to %s was made too late", addr)
	}
	return conn, nil
}
