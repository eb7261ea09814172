package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// writer writes the records of one Log. Only its goroutine touches the output.
type writer struct {
	log     *Log
	buffer  *bufio.Writer
	encoder *json.Encoder
	// shown is the number of dropped records that the output already tells.
	shown uint64
	// pending is the number of records in the buffer.
	pending uint64
	err     error
	done    chan struct{}
}

func newWriter(log *Log, output io.Writer) *writer {
	buffer := bufio.NewWriterSize(output, 64<<10)
	return &writer{
		log:     log,
		buffer:  buffer,
		encoder: json.NewEncoder(buffer),
		done:    make(chan struct{}),
	}
}

func (w *writer) run(queue <-chan Record) {
	defer close(w.done)
	for record := range queue {
		w.write(record)
		if len(queue) == 0 {
			w.writeGap()
			w.flush()
		}
	}
	w.writeGap()
	w.flush()
}

// write encodes one record. After an error of the output it only counts, because bufio keeps the error.
func (w *writer) write(record Record) {
	w.pending++
	if w.err == nil {
		w.err = w.encoder.Encode(record)
	}
}

// writeGap tells in the output how many records were dropped.
func (w *writer) writeGap() {
	dropped := w.log.Dropped()
	if dropped == w.shown || w.err != nil {
		return
	}
	detail := fmt.Sprintf("%d events were dropped before this one", dropped-w.shown)
	w.shown = dropped
	w.write(w.log.gap(detail))
	w.pending--
}

func (w *writer) flush() {
	if w.err == nil {
		w.err = w.buffer.Flush()
	}
	if w.err != nil {
		w.log.addDropped(w.pending)
	}
	w.pending = 0
}

func (w *writer) wait() error {
	<-w.done
	return w.err
}
