package gateway

import "sync"

// maxPooledBytes limits the capacity of pooled buffers, so that rare large messages do not keep memory allocated.
// Most messages are far smaller.
const maxPooledBytes = 64 << 10

// messageBuffers is a pool of buffers for encoded messages.
var messageBuffers = sync.Pool{New: func() any { return new([]byte) }}

// reusableBuffer returns the buffer if it is small enough to be pooled, and nil otherwise.
func reusableBuffer(buffer []byte) []byte {
	if cap(buffer) > maxPooledBytes {
		return nil
	}
	return buffer
}
