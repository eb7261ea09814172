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
	// UserTimeout is how long sent bytes may stay without acknowledgement before the connection is given up.
	UserTimeout time.Duration
	// KeepAliveInterval is the time between two keep-alive probes on an idle connection.
	KeepAliveInterval time.Duration
}

// probeCount is the number of unanswered keep-alive probes that end a connection.
const probeCount = 2

// Dialer returns a dialer with these limits. Its connections end with a reset, also if the process is killed: bytes
// that a network partition holds up would otherwise arrive when it heals, long after they were given up.
func (s Settings) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         s.ConnectTimeout,
		KeepAliveConfig: s.KeepAlive(),
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			if err := resetAtEnd(raw); err != nil {
				return err
			}
			return s.limitSilence(raw)
		},
	}
}

// resetAtEnd makes the end of a connection discard what was not delivered.
func resetAtEnd(raw syscall.RawConn) error {
	return control(raw, func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	})
}

// KeepAlive returns the keep-alive settings.
func (s Settings) KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.KeepAliveInterval, Interval: s.KeepAliveInterval, Count: probeCount}
}

// SetUserTimeout sets the limit for unacknowledged bytes on an accepted connection.
func (s Settings) SetUserTimeout(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return s.limitSilence(raw)
}

func (s Settings) limitSilence(raw syscall.RawConn) error {
	return control(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
	})
}

// control runs a function on the descriptor of a connection.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var failure error
	err := raw.Control(func(fd uintptr) { failure = f(int(fd)) })
	if err != nil {
		return err
	}
	return failure
}
