package wire

import "slices"

// ReserveFrame extends buffer by the space for a frame with at most size bytes of payload, so that the payload can
// be read directly into it.
func ReserveFrame(buffer []byte, size int) []byte {
	length := len(buffer) + frameHeaderBytes + size
	return slices.Grow(buffer, frameHeaderBytes+size)[:length]
}

// ReservedPayload returns the payload space of the frame that starts at the beginning of buffer.
func ReservedPayload(buffer []byte) []byte { return buffer[frameHeaderBytes:] }

// FinishFrame completes the frame that begins at start: it writes the header and truncates buffer after size bytes of
// payload. A frame without payload is removed.
func FinishFrame(buffer []byte, start int, t FrameType, size int) []byte {
	if size == 0 {
		return buffer[:start]
	}
	putFrameHeader(buffer[start:], t, size)
	return buffer[:start+frameHeaderBytes+size]
}
