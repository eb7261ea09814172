package serverconn

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a status that no response has, such as 000, which is waited beyond until the deadline or passed on as an
// answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "101", "600", "999", "+20", "-20", "2000", "20", "20x"} {
		t.Run(status, func(t *testing.T) {
			pool, received := startServer(t, replyAll("HTTP/1.1 "+status+" X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"))
			started := time.Now()
			response, err := sendRequest(t, pool, "a")
			if !errors.Is(err, ErrInvalidResponse) {
				t.Errorf("response %+v, error %v, want %v", response, err, ErrInvalidResponse)
			}
			if took := time.Since(started); took > time.Second {
				t.Errorf("error after %v, want it at once", took)
			}
			if received.Load() != 1 {
				t.Errorf("request arrived %d times", received.Load())
			}
		})
	}
}
