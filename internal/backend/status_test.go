package backend_test

import (
	"net/http"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/malformed"
)

// serveText answers each request with the text that answer returns for the line with the ID of the request, and ends the connection.
func serveText(t *testing.T, answer func(header string) string) *backend.Client {
	t.Helper()
	listener, err := malformed.Listen(func(request *http.Request) string {
		return answer(backend.HeaderRequestID + ": " + request.Header.Get(backend.HeaderRequestID) + "\r\n")
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	client := backend.New(backend.Options{Address: listener.Addr().String(), Slots: 1})
	t.Cleanup(client.Close)
	return client
}

// Guards against a status that no response has, such as 000, which reached the client as an answer or ended its connection.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20"} {
		t.Run(status, func(t *testing.T) {
			client := serveText(t, func(header string) string {
				return "HTTP/1.1 " + status + " X\r\n" + header + "Content-Length: 2\r\n\r\nok"
			})
			_, err := sendRequest(t.Context(), client, newRequest("POST", "", nil))
			if got := outcomeOf(err); got != "unknown" {
				t.Errorf("outcome %s (%v), want unknown", got, err)
			}
		})
	}
}

const textBody = "hello, world"

// Guards against bytes that are no whole response and count as one.
func TestMalformedResponses(t *testing.T) {
	replies := malformed.Replies("", textBody)
	for i, reply := range replies {
		t.Run(reply.Name, func(t *testing.T) {
			client := serveText(t, func(header string) string { return malformed.Replies(header, textBody)[i].Text })
			body, err := sendRequest(t.Context(), client, newRequest("POST", "", nil))
			if got := outcomeOf(err); got != "unknown" && got != "truncated" {
				t.Errorf("outcome %s (%v), body %q, want unknown or truncated", got, err, body)
			}
		})
	}
}

// Guards against whole responses that do not count because their form is rare. One without a length does not: it could be cut.
func TestUnusualResponses(t *testing.T) {
	for i, reply := range malformed.Unusual("", textBody) {
		t.Run(reply.Name, func(t *testing.T) {
			client := serveText(t, func(header string) string { return malformed.Unusual(header, textBody)[i].Text })
			body, err := sendRequest(t.Context(), client, newRequest("POST", "", nil))
			if reply.NoLength {
				if err == nil {
					t.Error("a response without a length counts as whole")
				}
				return
			}
			if err != nil || body != textBody {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// Guards against an answer to a control call that is no whole response and counts as success.
func TestMalformedControlResponses(t *testing.T) {
	for _, reply := range malformed.Replies("", "{}") {
		t.Run(reply.Name, func(t *testing.T) {
			client := serveText(t, func(string) string { return reply.Text })
			grants := backend.NewGrantClient(client)
			if err := grants.Withdraw(t.Context(), nil); err == nil {
				t.Error("a malformed answer ends a withdrawal")
			}
		})
	}
}
