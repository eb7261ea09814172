package logging

import (
	"io"
	"sync"
)

// lockedWriter serializes the writes of all loggers to one output.
type lockedWriter struct {
	// mu protects the fields below.
	mu     sync.Mutex
	output io.Writer
}

func (w *lockedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.Write(line)
}
