package entry

import "time"

// lingerTimeout limits the wait for the client to close the connection after the last response: closing it earlier could
// reset the connection before the client has read that response.
const lingerTimeout = 500 * time.Millisecond

// shutdownWrite closes the sending side and lets the reader wait until the client closes the connection.
func (c *clientConn) shutdownWrite() {
	// An error means that the client has already disconnected.
	_ = c.tcp.CloseWrite()
	c.linger(lingerTimeout)
}

// linger lets the reader discard what the client sends for at most the given time.
func (c *clientConn) linger(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingerUntil = time.Now().Add(timeout)
	// An error means that the client has already disconnected.
	_ = c.tcp.SetReadDeadline(c.lingerUntil)
}

// limitRead limits how long the next reads may take. A connection that lingers keeps its earlier limit.
func (c *clientConn) limitRead(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingerUntil.IsZero() {
		return
	}
	// An error also makes the next read fail.
	_ = c.tcp.SetReadDeadline(time.Now().Add(timeout))
}

// stopReading makes the pending read fail.
func (c *clientConn) stopReading() {
	// An error means that the client has already disconnected.
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
}

// watchDisconnect detects that the client disconnects after its last request. It discards what the client still sends:
// closing a connection with unread bytes would reset it before the client has read the responses.
func (c *clientConn) watchDisconnect() {
	c.waitForDisconnect()
	for {
		c.limited.N = readBufferBytes
		if _, err := c.reader.ReadByte(); err != nil {
			if !isTimeout(err) {
				c.cancel()
			}
			return
		}
	}
}

// waitForDisconnect removes the read deadline, but for that of a connection that lingers.
func (c *clientConn) waitForDisconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An error also makes the next read fail.
	_ = c.tcp.SetReadDeadline(c.lingerUntil)
}

// closeIfIdle closes the connection if it has no open request, none is being read and no response is being written. A request
// whose first byte arrives at the same time is still served. A connection that closes after its last response is left alone.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 0 && !c.reading && !c.writing && !c.closing {
		c.stopReading()
	}
}

// abortRead makes the read of a request that has not arrived completely time out, so that it is rejected.
func (c *clientConn) abortRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		c.stopReading()
	}
}
