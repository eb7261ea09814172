package wire

import "slices"

// AppendFrameSpace appends room for a frame with at most size bytes of payload.
func AppendFrameSpace(buffer []byte, size int) []byte {
	length := len(buffer) + frameHeaderBytes + size
	return slices.Grow(buffer, frameHeaderBytes+size)[:length]
}

// FrameSpace returns the payload of a frame that AppendFrameSpace began at the start of buffer.
func FrameSpace(buffer []byte) []byte { return buffer[frameHeaderBytes:] }

// CloseFrame sets the type and size of the frame that begins at start, and drops the room that it does not use. An
// empty frame is dropped whole.
func CloseFrame(buffer []byte, start int, t FrameType, size int) []byte {
	if size == 0 {
		return buffer[:start]
	}
	putHeader(buffer[start:], t, size)
	return buffer[:start+frameHeaderBytes+size]
}
