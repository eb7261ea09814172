package soak

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/netwrite"
)

// proxyEnd is one of the two connections that a proxy connects. A reset of it is seen by the goroutine that writes to it or by the one
// that reads from it.
type proxyEnd struct {
	*net.TCPConn
	writer *netwrite.Writer
}

func newProxyEnd(conn *net.TCPConn) (proxyEnd, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return proxyEnd{}, err
	}
	err = errors.CombineErrors(conn.SetReadBuffer(bufferBytes), conn.SetWriteBuffer(bufferBytes))
	return proxyEnd{TCPConn: conn, writer: netwrite.NewWriter(raw)}, err
}
