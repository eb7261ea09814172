// Package httpcheck tells HTTP/1.1 responses from bytes that only resemble one and that net/http accepts. Head checks the bytes of a
// head, for readers that pass on what they read. Response checks what net/http has parsed.
package httpcheck
