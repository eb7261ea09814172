package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is the room for lines that the output has not taken yet.
	asyncLines = 4096
	// asyncRate is the number of lines a second that are written in the long run, asyncBurst that of a short run.
	asyncRate  = 500
	asyncBurst = 2000
)

// AsyncWriter hands lines to an output without waiting for it. Lines beyond its room or rate are dropped, counted and
// reported with the next line that is written.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// onDrop is told of each dropped line.
	onDrop func(lines int)
	done   chan struct{}
}

// NewAsyncWriter returns a writer that hands lines to an output. onDrop is told of each line that is dropped.
func NewAsyncWriter(output io.Writer, onDrop func(lines int)) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncLines), onDrop: onDrop, done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *AsyncWriter) drop() {
	w.dropped.Add(1)
	w.onDrop(1)
}

// Close writes the queued lines. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}

// run writes lines within the rate.
func (w *AsyncWriter) run(output io.Writer) {
	defer close(w.done)
	tokens, last := float64(asyncBurst), time.Now()
	for line := range w.lines {
		now := time.Now()
		tokens = min(asyncBurst, tokens+asyncRate*now.Sub(last).Seconds())
		last = now
		if tokens < 1 {
			w.drop()
			continue
		}
		tokens--
		if lost := w.dropped.Swap(0); lost > 0 {
			// A failed write shows nowhere else; the count of dropped lines stays in the metrics.
			_, _ = fmt.Fprintf(output, "time=%q level=warning msg=\"logging: lines dropped\" lines=%d\n", now.UTC().Format(timeLayout), lost)
		}
		_, _ = output.Write(line)
	}
}
