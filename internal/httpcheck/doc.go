// Package httpcheck tells HTTP/1.1 responses from bytes that only resemble one and that net/http accepts. Head checks the bytes of a
// head. Transport does so for an http.Client.
package httpcheck
