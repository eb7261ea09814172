package serverconn

import (
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// streamBufferBytes is the size of the pieces in which the rest of a body is forwarded.
const streamBufferBytes = 32 << 10

const lastChunk = "0\r\n\r\n"

// writeStream writes the encoded head and first part of a request, and then the rest of its body while it arrives. If
// the body breaks off, the caller must close the connection, so that the backend server does not take it for complete.
func (c *conn) writeStream(request *Request, encoded []byte) error {
	if err := c.write(encoded); err != nil {
		return err
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := request.Rest.Read(buffer)
		if n > 0 {
			if writeErr := c.writePart(request, buffer[:n]); writeErr != nil {
				return connectionError(writeErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return c.writeEnd(request)
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "request body"), ErrRequestBody)
		}
	}
}

// writePart writes a part of the body, as a chunk if the length of the body is not known.
func (c *conn) writePart(request *Request, part []byte) error {
	if request.Length >= 0 {
		_, err := c.writer.Write(part)
		return err
	}
	_, err := c.writer.Write(encodeChunk(part))
	return err
}

func (c *conn) writeEnd(request *Request) error {
	if request.Length >= 0 {
		return nil
	}
	if _, err := io.WriteString(c.writer, lastChunk); err != nil {
		return connectionError(err)
	}
	return nil
}

func encodeChunk(part []byte) []byte {
	chunk := strconv.AppendInt(nil, int64(len(part)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, part...)
	return append(chunk, "\r\n"...)
}
