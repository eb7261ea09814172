// Package netdial opens TCP connections that detect an unresponsive peer.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings holds the time limits of a connection.
type Settings struct {
	// ConnectTimeout bounds the connection setup.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the connection is closed
	// (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// KeepAliveInterval is the interval between keep-alive probes on an idle connection.
	KeepAliveInterval time.Duration
}

// keepAliveProbes is the number of unanswered keep-alive probes after which a connection is closed.
const keepAliveProbes = 2

// Dialer returns a dialer with these limits. Its connections are reset when they are closed, also if the process is
// killed. Otherwise data held up by a network partition would be delivered when the partition heals, long after the
// sender has given up.
func (s Settings) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         s.ConnectTimeout,
		KeepAliveConfig: s.KeepAlive(),
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			if err := resetOnClose(raw); err != nil {
				return err
			}
			return s.setUserTimeout(raw)
		},
	}
}

// resetOnClose makes the closing of a connection discard undelivered data and send a reset.
func resetOnClose(raw syscall.RawConn) error {
	return withDescriptor(raw, func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	})
}

// KeepAlive returns the keep-alive configuration.
func (s Settings) KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.KeepAliveInterval, Interval: s.KeepAliveInterval, Count: keepAliveProbes}
}

// SetUserTimeout sets the time limit for unacknowledged data on an accepted connection.
func (s Settings) SetUserTimeout(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return s.setUserTimeout(raw)
}

func (s Settings) setUserTimeout(raw syscall.RawConn) error {
	return withDescriptor(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
	})
}

// withDescriptor calls f with the file descriptor of a connection.
func withDescriptor(raw syscall.RawConn, f func(fd int) error) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) { optionErr = f(int(fd)) })
	if err != nil {
		return err
	}
	return optionErr
}
