package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
)

// stalledOutput takes nothing until it is released.
type stalledOutput struct {
	release chan struct{}
	taken   bytes.Buffer
}

func (o *stalledOutput) Write(line []byte) (int, error) {
	<-o.release
	return o.taken.Write(line)
}

// Guards against a reader of the log that stalls and so stops the traffic, and against lines that are lost unsaid.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	output := &stalledOutput{release: make(chan struct{})}
	var dropped atomic.Int64
	writer := NewAsyncWriter(output, func(lines int) { dropped.Add(int64(lines)) })
	const lines = 3 * asyncLines
	for i := range lines {
		if _, err := fmt.Fprintf(writer, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if dropped.Load() < lines-asyncLines-1 {
		t.Fatalf("%d of %d lines counted as dropped with room for %d", dropped.Load(), lines, asyncLines)
	}
	close(output.release)
	writer.Close()
	if !strings.Contains(output.taken.String(), "lines dropped") {
		t.Fatal("the log does not say that lines were dropped")
	}
	written := strings.Count(output.taken.String(), "\nline ") + strings.Count(output.taken.String(), "line 0\n")
	if got := int64(written) + dropped.Load(); got < lines-1 || got > lines+1 {
		t.Fatalf("%d lines written and %d dropped of %d", written, dropped.Load(), lines)
	}
}
