package store_test

import (
	"net/http"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/malformed"
	"github.com/sapphireplank/sapphireplank/internal/store"
)

const storedValue = "hello, world"

// getFrom reads an entry from a store that answers with a text.
func getFrom(t *testing.T, text string) (store.Entry, error) {
	t.Helper()
	listener, err := malformed.Listen(func(*http.Request) string { return text })
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return store.NewClient("http://"+listener.Addr().String(), &http.Client{}).Get(t.Context(), "key")
}

// Guards against bytes that are no whole answer and count as an entry.
func TestMalformedAnswers(t *testing.T) {
	for _, reply := range malformed.Replies("Store-Version: 3\r\n", storedValue) {
		if entry, err := getFrom(t, reply.Text); err == nil {
			t.Errorf("%s: entry %+v", reply.Name, entry)
		}
	}
}

// Guards against whole answers that do not count because their form is rare. One without a length does not: it could be cut.
func TestUnusualAnswers(t *testing.T) {
	for _, reply := range malformed.Unusual("Store-Version: 3\r\n", storedValue) {
		entry, err := getFrom(t, reply.Text)
		if whole := err == nil && string(entry.Value) == storedValue; whole == reply.NoLength {
			t.Errorf("%s: entry %+v, error %v", reply.Name, entry, err)
		}
	}
}

// Guards against a value that is cut off at the longest length of one.
func TestTooLongValue(t *testing.T) {
	reply := malformed.Unusual("Store-Version: 3\r\n", string(make([]byte, store.MaxValueBytes+2)))[0]
	if entry, err := getFrom(t, reply.Text); err == nil {
		t.Errorf("a value of %d bytes counts", len(entry.Value))
	}
}
