package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
)

// stalledOutput blocks all writes until release is closed.
type stalledOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (o *stalledOutput) Write(line []byte) (int, error) {
	<-o.release
	return o.written.Write(line)
}

// Guards against a stalled reader of the log that blocks traffic, and against lines that are dropped without notice.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	output := &stalledOutput{release: make(chan struct{})}
	var dropped atomic.Int64
	writer := NewAsyncWriter(output, func(lines int) { dropped.Add(int64(lines)) })
	const lines = 3 * asyncQueueLength
	for i := range lines {
		if _, err := fmt.Fprintf(writer, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if dropped.Load() < lines-asyncQueueLength-1 {
		t.Fatalf("%d of %d lines counted as dropped with a queue of %d", dropped.Load(), lines, asyncQueueLength)
	}
	close(output.release)
	writer.Close()
	if !strings.Contains(output.written.String(), "lines dropped") {
		t.Fatal("the log does not say that lines were dropped")
	}
	written := strings.Count(output.written.String(), "\nline ") + strings.Count(output.written.String(), "line 0\n")
	if got := int64(written) + dropped.Load(); got < lines-1 || got > lines+1 {
		t.Fatalf("%d lines written and %d dropped of %d", written, dropped.Load(), lines)
	}
}
