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
	// Hello is the first message. It names this gateway.
	Hello  *wire.RelayUp
	Dialer *net.Dialer
	// Collect returns the next report, or nil if there is nothing to report. It is called every
	// ReportPollInterval.
	Collect func() *wire.RelayUp
	// Receive is called with each message from the elected gateway.
	Receive func(*wire.RelayDown)
}

const (
	// ReportPollInterval is the interval at which a gateway checks whether there is something to report.
	ReportPollInterval = 50 * time.Millisecond
	// clientReadTimeout is how long the client waits for a message before it closes the connection.
	clientReadTimeout = 2 * time.Second
)

// Run connects to the elected gateway and exchanges messages until the connection ends or the context is done.
func (c *Client) Run(ctx context.Context, addr string) error {
	conn, err := c.Dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return err
	}
	// An error of Close is ignored, because the connection is no longer used.
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := c.send(conn, c.Hello); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.reportLoop(ctx, conn)
	reader := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(clientReadTimeout)); err != nil {
			return err
		}
		message, err := readMessage(reader)
		if err != nil {
			return err
		}
		c.Receive(message)
	}
}

// reportLoop sends reports until the context is done or the connection fails.
func (c *Client) reportLoop(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(ReportPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if report := c.Collect(); report != nil && c.send(conn, report) != nil {
				// Closing makes the read in Run fail, which returns the error.
				_ = conn.Close()
				return
			}
		}
	}
}

func (c *Client) send(conn net.Conn, report *wire.RelayUp) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return wire.WriteMessage(conn, wire.FrameRelay, report)
}
