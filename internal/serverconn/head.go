package serverconn

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/httpcheck"
)

// The characters that end a line. The first one may be missing.
var carriageReturn, lineFeed = []byte("\r"), []byte("\n")

// errHeadTooLong means that the head of a response does not end within maxHeaderBytes.
var errHeadTooLong = errors.New("head of the response is too long; send shorter fields")

// checkHead checks the head of the next response. It reads no further than the first malformed line, and what it has read remains to
// be read.
func (c *conn) checkHead() (*httpcheck.Head, error) {
	head := &httpcheck.Head{}
	checked := 0
	for {
		line, err := c.peekLine(checked)
		if err != nil {
			return nil, readError(err)
		}
		checked += len(line)
		ended, err := head.Line(bytes.TrimSuffix(bytes.TrimSuffix(line, lineFeed), carriageReturn))
		if err != nil {
			return nil, invalidResponse(err)
		}
		if ended {
			return head, nil
		}
	}
}

// peekLine returns the line, with its end, that follows after a number of bytes.
func (c *conn) peekLine(skipped int) ([]byte, error) {
	for wanted := skipped + 1; ; {
		content, err := c.reader.Peek(max(wanted, c.reader.Buffered()))
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(content) > maxHeaderBytes {
				return nil, errHeadTooLong
			}
			c.enlargeReader(content)
			continue
		}
		if len(content) > skipped {
			if i := bytes.IndexByte(content[skipped:], '\n'); i >= 0 {
				return content[skipped : skipped+i+1], nil
			}
		}
		if err != nil {
			return nil, err
		}
		wanted = len(content) + 1
	}
}

// enlargeReader replaces the full buffer of the connection by one that is larger than the longest head: reading that ends at the
// limit of a head before the buffer is full.
func (c *conn) enlargeReader(content []byte) {
	received := bytes.NewReader(bytes.Clone(content))
	c.reader = bufio.NewReaderSize(io.MultiReader(received, c.limited), maxHeaderBytes+readBufferBytes)
}
