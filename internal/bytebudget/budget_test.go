package bytebudget

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// Guards against bodies that together take more than the limit, and against bytes that stay reserved.
func TestLimit(t *testing.T) {
	const limit = 4 * readStep
	budget := New(limit)
	first, second := budget.Account(), budget.Account()
	body := strings.Repeat("x", 3*readStep)
	if read, err := first.ReadAll(strings.NewReader(body), limit); err != nil || string(read) != body {
		t.Fatalf("%d bytes, %v", len(read), err)
	}
	if _, err := second.ReadAll(strings.NewReader(body), limit); !errors.Is(err, ErrExhausted) {
		t.Fatalf("second body: %v, want %v", err, ErrExhausted)
	}
	second.Release()
	if got := budget.Reserved(); got != int64(len(body)) {
		t.Fatalf("%d bytes reserved for a body of %d", got, len(body))
	}
	first.Release()
	if got := budget.Reserved(); got != 0 {
		t.Fatalf("%d bytes reserved after all were released", got)
	}
	third := budget.Account()
	if read, err := third.ReadAll(strings.NewReader(body), 10); err != nil || len(read) != 10 || budget.Reserved() != 10 {
		t.Fatalf("%d bytes read with a limit of 10, %d reserved, %v", len(read), budget.Reserved(), err)
	}
}

// Guards against a body that broke off and is taken for complete.
func TestBrokenBody(t *testing.T) {
	body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if read, err := New(readStep).Account().ReadAll(body, readStep); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("%q, %v, want %v", read, err, io.ErrUnexpectedEOF)
	}
}
