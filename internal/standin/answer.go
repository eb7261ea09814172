package standin

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
)

// slowBodyPause separates the pieces of a slow body.
const slowBodyPause = 20 * time.Millisecond

// keepOpen is the time for which a connection with an answer that was sent twice stays open.
const keepOpen = time.Second

// answer sends the answer of an executed request, as the fault wants it.
func (s *Server) answer(w http.ResponseWriter, fault Fault) {
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
		sendRaw(w, head[:len(head)/2])
	case FaultTruncatedBody:
		sendRaw(w, head+length+string(body[:len(body)/2]))
	case FaultTruncatedChunkedBody:
		chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		sendRaw(w, head+chunk)
	case FaultInvalidHTTP:
		sendRaw(w, strings.Repeat("\x00\xff garbage ", len(body)))
	case FaultNoContentLength:
		sendRaw(w, head+"\r\n"+string(body))
	case FaultDuplicateResponse:
		sendAndKeep(w, complete+complete)
	case FaultWrongRequestID:
		w.Header().Set(backend.HeaderRequestID, backend.RequestID{}.String())
		send(w, body)
	case FaultSlowBody:
		sendSlowly(w, body)
	case FaultUnmarked503:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		send(w, body)
	}
}

func send(w http.ResponseWriter, body []byte) {
	// A failed write means that the home has left.
	_, _ = w.Write(body)
}

func sendSlowly(w http.ResponseWriter, body []byte) {
	control := http.NewResponseController(w)
	for i := range body {
		send(w, body[i:i+1])
		if control.Flush() != nil {
			return
		}
		time.Sleep(slowBodyPause)
	}
}

// sendRaw writes bytes to the connection and closes it.
func sendRaw(w http.ResponseWriter, text string) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = conn.Write([]byte(text)) // a failed write is one more cut
	_ = conn.Close()
}

// sendAndKeep writes bytes to the connection and leaves it open for a while, so that it is used again.
func sendAndKeep(w http.ResponseWriter, text string) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = conn.Write([]byte(text)) // a failed write is one more cut
	time.AfterFunc(keepOpen, func() { _ = conn.Close() })
}

func closeConnection(w http.ResponseWriter) {
	if conn := hijack(w); conn != nil {
		_ = conn.Close() // the cut is the point
	}
}

func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	return conn
}
