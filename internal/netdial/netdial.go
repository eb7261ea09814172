// Package netdial opens TCP connections that notice when the other side has gone silent.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings are the time limits of a connection.
type Settings struct {
	// ConnectTimeout bounds the connection setup.
	ConnectTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay without acknowledgement before the connection is given up.
	SilenceTimeout time.Duration
	// ProbeEvery is the time between two keep-alive probes on an idle connection.
	ProbeEvery time.Duration
}

// probeCount is the number of unanswered keep-alive probes that end a connection.
const probeCount = 2

// Dialer returns a dialer with these limits.
func (s Settings) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         s.ConnectTimeout,
		KeepAliveConfig: s.KeepAlive(),
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return s.limitSilence(raw)
		},
	}
}

// KeepAlive returns the keep-alive settings.
func (s Settings) KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.ProbeEvery, Interval: s.ProbeEvery, Count: probeCount}
}

// LimitSilence sets the limit for unacknowledged bytes on an accepted connection.
func (s Settings) LimitSilence(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return s.limitSilence(raw)
}

func (s Settings) limitSilence(raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.SilenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
