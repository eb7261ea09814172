package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// writer writes the records of one Log. Only its goroutine accesses the output.
type writer struct {
	log     *Log
	buffer  *bufio.Writer
	encoder *json.Encoder
	// reportedDropped is the number of dropped records already reported in the output.
	reportedDropped uint64
	// pending is the number of records in buffer. They count as dropped if the flush fails.
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
			w.writeDropped()
			w.flush()
		}
	}
	w.writeDropped()
	w.flush()
}

// write encodes one record into the buffer. After an output error it only counts the record as pending: bufio returns
// its first error on every later write.
func (w *writer) write(record Record) {
	w.pending++
	if w.err == nil {
		w.err = w.encoder.Encode(record)
	}
}

// writeDropped writes a record with the number of records dropped since the last report. That record is not counted as
// pending.
func (w *writer) writeDropped() {
	dropped := w.log.Dropped()
	if dropped == w.reportedDropped || w.err != nil {
		return
	}
	detail := fmt.Sprintf("%d events were dropped before this one", dropped-w.reportedDropped)
	w.reportedDropped = dropped
	w.write(w.log.dropRecord(detail))
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
