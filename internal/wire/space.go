package wire

import "slices"

// ReserveFrame appends room for a frame with at most size bytes of payload.
func ReserveFrame(buffer []byte, size int) []byte {
	length := len(buffer) + frameHeaderBytes + size
	return slices.Grow(buffer, frameHeaderBytes+size)[:length]
}

// ReservedPayload returns the payload of a frame that AppendFrameSpace began at the start of buffer.
func ReservedPayload(buffer []byte) []byte { return buffer[frameHeaderBytes:] }

// FinishFrame sets the type and size of the frame that begins at start, and drops the room that it does not use. An
// empty frame is dropped whole.
func FinishFrame(buffer []byte, start int, t FrameType, size int) []byte {
	if size == 0 {
		return buffer[:start]
	}
	putHeader(buffer[start:], t, size)
	return buffer[:start+frameHeaderBytes+size]
}
