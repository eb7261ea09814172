package ctl

import (
	"io"
	"net/http"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/malformed"
)

// Guards against bytes that are no whole response of a gateway and are shown to an operator as one.
func TestMalformedResponses(t *testing.T) {
	for _, reply := range malformed.Replies("", "{}") {
		listener, err := malformed.Listen(func(*http.Request) string { return reply.Text })
		if err != nil {
			t.Fatal(err)
		}
		response, err := New().HTTP.Get("http://" + listener.Addr().String())
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		if err == nil {
			t.Errorf("%s: response with status %d", reply.Name, response.StatusCode)
		}
		listener.Close()
	}
}
