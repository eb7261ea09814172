package gateway

import "sync"

// maxPooledBytes bounds the buffers that are kept for reuse. Most messages are far smaller.
const maxPooledBytes = 64 << 10

// buffers holds buffers for encoded messages.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// keepSmall returns the buffer for reuse, or nil if it is too large to keep.
func keepSmall(buffer []byte) []byte {
	if cap(buffer) > maxPooledBytes {
		return nil
	}
	return buffer
}
