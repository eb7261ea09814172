package entry

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against an attempt that reads from a body that the request's next attempt sends, and against one that takes a body that was
// read already for a complete one.
func TestBodyHasOneReader(t *testing.T) {
	const body = "the rest of a body"
	s := newBodyStream(nil, strings.NewReader(body), 100)
	first := s.newReader()
	if !s.readers.reclaim() {
		t.Fatal("a body that nobody has read can't be reclaimed")
	}
	second := s.newReader()
	buffer := make([]byte, len(body))
	if n, err := first.Read(buffer); n != 0 || !errors.Is(err, errOtherReader) {
		t.Errorf("the first attempt read %d bytes of a reclaimed body, error %v", n, err)
	}
	if n, err := second.Read(buffer[:4]); n != 4 || err != nil {
		t.Fatalf("the second attempt read %d bytes, error %v", n, err)
	}
	if s.readers.reclaim() {
		t.Error("a body that an attempt reads was reclaimed")
	}
	for range 2 {
		if n, err := s.newReader().Read(buffer); n != 0 || !errors.Is(err, errOtherReader) {
			t.Errorf("a third attempt read %d bytes, error %v", n, err)
		}
		// In the second round the body has ended.
		rest, err := io.ReadAll(second)
		if err != nil {
			t.Fatal(err)
		}
		if len(rest) > 0 && string(rest) != body[4:] {
			t.Errorf("the second attempt read on %q", rest)
		}
	}
}
