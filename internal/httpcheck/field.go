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

// tokenSymbols are the characters of a token besides letters and digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether text can be the name of a field.
func isToken(text string) bool {
	for _, c := range []byte(text) {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && strings.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return text != ""
}
