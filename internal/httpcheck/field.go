package httpcheck

import (
	"net/http"
	"strings"
)

// Fields checks the names and values of the fields of a head or a trailer section.
func Fields(header http.Header) error {
	for name, values := range header {
		if !isToken(name) {
			return malformed("name of a field", name)
		}
		for _, value := range values {
			if strings.ContainsFunc(value, isControl) {
				return malformed("control byte in the value of field", name)
			}
		}
	}
	return nil
}

// isControl reports whether a character must not stand in a value or a reason.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// isToken reports whether text can be the name of a field.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !tokenCharacters[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// tokenCharacters has the characters of a token.
var tokenCharacters = func() (characters [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		characters[c] = true
	}
	return characters
}()
