package standin

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// slowBodyInterval is the pause after each byte of a slow response body.
const slowBodyInterval = 20 * time.Millisecond

// duplicateCloseDelay is how long a connection stays open after a response that was sent twice.
const duplicateCloseDelay = time.Second

// respond sends the response to an executed request with the given fault.
func (s *Server) respond(w http.ResponseWriter, fault Fault) {
	id := w.Header().Get(backend.HeaderRequestID)
	body := s.options.Body
	if body == nil {
		body = []byte(s.options.Name + " " + id)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", backend.HeaderRequestID, id)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	complete := head + length + string(body)
	switch fault {
	case FaultCloseAfterExecution:
		closeConnection(w)
	case FaultTruncatedHeader:
		writeRawAndClose(w, head[:len(head)/2])
	case FaultTruncatedBody:
		writeRawAndClose(w, head+length+string(body[:len(body)/2]))
	case FaultTruncatedChunkedBody:
		chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		writeRawAndClose(w, head+chunk)
	case FaultInvalidHTTP:
		writeRawAndClose(w, strings.Repeat("\x00\xff garbage ", len(body)))
	case FaultNoContentLength:
		writeRawAndClose(w, head+"\r\n"+string(body))
	case FaultDuplicateResponse:
		writeRawKeepAlive(w, complete+complete)
	case FaultWrongRequestID:
		w.Header().Set(backend.HeaderRequestID, backend.RequestID{}.String())
		writeBody(w, body)
	case FaultSlowBody:
		writeSlowly(w, body)
	case FaultUnmarked503:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeBody(w, body)
	}
}

func writeBody(w http.ResponseWriter, body []byte) {
	// A failed write means that the peer has closed the connection.
	_, _ = w.Write(body)
}

func writeSlowly(w http.ResponseWriter, body []byte) {
	control := http.NewResponseController(w)
	for i := range body {
		writeBody(w, body[i:i+1])
		if control.Flush() != nil {
			return
		}
		time.Sleep(slowBodyInterval)
	}
}

// writeRawAndClose writes raw bytes to the connection and closes it.
func writeRawAndClose(w http.ResponseWriter, text string) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = conn.Write([]byte(text)) // the peer may have closed the connection
	_ = conn.Close()
}

// writeRawKeepAlive writes raw bytes to the connection and closes it after duplicateCloseDelay, so that the peer can
// reuse it meanwhile.
func writeRawKeepAlive(w http.ResponseWriter, text string) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = conn.Write([]byte(text)) // the peer may have closed the connection
	time.AfterFunc(duplicateCloseDelay, func() { _ = conn.Close() })
}

func closeConnection(w http.ResponseWriter) {
	if conn := hijack(w); conn != nil {
		_ = conn.Close() // the connection is dropped on purpose
	}
}

// hijack returns the underlying connection, or nil if it cannot be taken over.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	return conn
}
