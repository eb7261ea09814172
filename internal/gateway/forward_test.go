package gateway

import (
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Guards against a status from another gateway that is no final one: writing it to the client panics, or passes it on.
func TestResponseHead(t *testing.T) {
	id := []byte("0123456789abcdef")
	for status, valid := range map[int32]bool{200: true, 404: true, 599: true, 0: false, 99: false, 101: false, 103: false, 600: false, -1: false, 2000: false} {
		problem := checkResponseHead(&wire.ResponseHead{RequestId: id, Status: status}, id)
		if (problem == nil) != valid || problem != nil && problem.Outcome != outcome.Unknown {
			t.Errorf("status %d: %v", status, problem)
		}
	}
	if checkResponseHead(&wire.ResponseHead{RequestId: id[1:], Status: 200}, id) == nil {
		t.Error("response to another request accepted")
	}
	if problem := checkResponseHead(&wire.ResponseHead{RequestId: id, Problem: &wire.Problem{}}, id); problem != nil {
		t.Errorf("refusal of a gateway: %v", problem)
	}
}

// Guards against a line in the head of a response from another gateway that no response can have.
func TestResponseHeadFields(t *testing.T) {
	id := []byte("0123456789abcdef")
	for _, c := range []struct {
		name, value string
		length      int64
		valid       bool
	}{
		{"X-Lower", "a b\tc\xe9", -1, true}, {"x", "", 0, true},
		{"X Y", "z", 0, false}, {"X ", "z", 0, false}, {"", "z", 0, false}, {"X\x01", "z", 0, false}, {"X:", "z", 0, false}, {"X\r\nY", "z", 0, false},
		{"X", "a\x00", 0, false}, {"X", "a\r\nContent-Length: 1", 0, false}, {"X", "\x7f", 0, false}, {"X", "y", -2, false},
	} {
		head := &wire.ResponseHead{RequestId: id, Status: 200, ContentLength: c.length, Headers: []*wire.Header{{Name: c.name, Value: c.value}}}
		problem := checkResponseHead(head, id)
		if (problem == nil) != c.valid || problem != nil && problem.Outcome != outcome.Unknown {
			t.Errorf("field %q with value %q, length %d: %v", c.name, c.value, c.length, problem)
		}
	}
}
