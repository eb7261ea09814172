package gateway

import (
	"io"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// peerResponseWriter sends a response in frames. A short response is sent in one write, including its head and end.
type peerResponseWriter struct {
	conn      io.Writer
	requestID []byte
	buffer    []byte
	total     int64
}

// send writes the buffered head, the body and the End frame.
func (w *peerResponseWriter) send(body io.Reader) error {
	for {
		n, err := w.appendFrame(body)
		w.total += int64(n)
		switch {
		case err == io.EOF:
			return w.writeEnd()
		case err != nil:
			return err
		case len(w.buffer) >= wire.MaxBodyFrameBytes:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

// appendFrame appends one body frame with the data of a single read.
func (w *peerResponseWriter) appendFrame(body io.Reader) (int, error) {
	start := len(w.buffer)
	w.buffer = wire.ReserveFrame(w.buffer, wire.MaxBodyFrameBytes)
	n, err := body.Read(wire.ReservedPayload(w.buffer[start:]))
	w.buffer = wire.FinishFrame(w.buffer, start, wire.FrameBody, n)
	return n, err
}

func (w *peerResponseWriter) writeEnd() error {
	buffer, err := wire.AppendMessage(w.buffer, wire.FrameEnd, &wire.End{RequestId: w.requestID, TotalBytes: w.total})
	if err != nil {
		return err
	}
	w.buffer = buffer
	return w.flush()
}

func (w *peerResponseWriter) flush() error {
	_, err := w.conn.Write(w.buffer)
	w.buffer = w.buffer[:0]
	return err
}
