package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLength is the number of lines that can be queued for a slow output.
	asyncQueueLength = 4096
	// asyncRate is the sustained number of lines written per second, asyncBurst the number that may be written at
	// once.
	asyncRate  = 500
	asyncBurst = 2000
)

// AsyncWriter writes lines to an output without blocking the caller. Lines that exceed the queue or the rate are
// dropped and counted; the number dropped is logged before the next line that is written.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// onDrop is called for each dropped line.
	onDrop func(lines int)
	done   chan struct{}
}

// NewAsyncWriter returns a writer to output. onDrop is called for each dropped line.
func NewAsyncWriter(output io.Writer, onDrop func(lines int)) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, asyncQueueLength), onDrop: onDrop, done: make(chan struct{})}
	go w.run(output)
	return w
}

// Write queues a line. It never blocks and never returns an error.
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

// Close waits until all queued lines are processed. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}

// run writes queued lines to the output and drops those that exceed the rate.
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
		if dropped := w.dropped.Swap(0); dropped > 0 {
			// A failed write is not reported here; the count of dropped lines remains in the metrics.
			_, _ = fmt.Fprintf(output, "time=%q level=warning msg=\"logging: lines dropped\" lines=%d\n", now.UTC().Format(timeLayout), dropped)
		}
		_, _ = output.Write(line)
	}
}
