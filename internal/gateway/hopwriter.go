package gateway

import (
	"io"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// hopWriter sends an answer in frames. A short answer takes one write with its head and end.
type hopWriter struct {
	conn   io.Writer
	id     []byte
	buffer []byte
	total  int64
}

// send sends what the buffer holds, the body and the end.
func (w *hopWriter) send(body io.Reader) error {
	for {
		n, err := w.readFrame(body)
		w.total += int64(n)
		switch {
		case err == io.EOF:
			return w.end()
		case err != nil:
			return err
		case len(w.buffer) >= wire.MaxBodyFrameBytes:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

// readFrame appends one frame with what a single read returns.
func (w *hopWriter) readFrame(body io.Reader) (int, error) {
	start := len(w.buffer)
	w.buffer = wire.ReserveFrame(w.buffer, wire.MaxBodyFrameBytes)
	n, err := body.Read(wire.ReservedPayload(w.buffer[start:]))
	w.buffer = wire.FinishFrame(w.buffer, start, wire.FrameBody, n)
	return n, err
}

func (w *hopWriter) end() error {
	buffer, err := wire.AppendMessage(w.buffer, wire.FrameEnd, &wire.End{RequestId: w.id, TotalBytes: w.total})
	if err != nil {
		return err
	}
	w.buffer = buffer
	return w.flush()
}

func (w *hopWriter) flush() error {
	_, err := w.conn.Write(w.buffer)
	w.buffer = w.buffer[:0]
	return err
}
