package relay

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Client is the connection to the elected gateway.
type Client struct {
	// Host is the name of this gateway.
	Host   string
	Dialer *net.Dialer
	// Collect returns what there is to report, or nil. It is called at the interval ReportTick.
	Collect func() *wire.RelayUp
	// Receive takes each message.
	Receive func(*wire.RelayDown)
}

const (
	// ReportPollInterval is how often a gateway looks whether there is something to report.
	ReportPollInterval = 50 * time.Millisecond
	// downSilence is how long the elected gateway may be silent before its connection is given up.
	downSilence = 2 * time.Second
)

// Run connects and reports until the connection ends or the context is done.
func (c *Client) Run(ctx context.Context, addr string) error {
	conn, err := c.Dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return err
	}
	// The connection is over either way.
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.report(conn, &wire.RelayUp{Host: c.Host}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.reports(ctx, conn)
	reader := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(downSilence)); err != nil {
			return err
		}
		down := &wire.RelayDown{}
		if err := wire.ReadMessage(reader, wire.FrameRelay, down); err != nil {
			return err
		}
		c.Receive(down)
	}
}

// reports sends what there is to report until the context is done.
func (c *Client) reports(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(ReportPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if up := c.Collect(); up != nil && c.report(conn, up) != nil {
				// The reader of the connection reports its end.
				_ = conn.Close()
				return
			}
		}
	}
}

func (c *Client) report(conn net.Conn, up *wire.RelayUp) error {
	if err := conn.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	return wire.WriteMessage(conn, wire.FrameRelay, up)
}
