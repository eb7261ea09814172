package malformed

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Serve answers the first request of each connection with the text that answer returns for it, and ends the connection. It returns
// when the listener is closed.
func Serve(listener net.Listener, answer func(request *http.Request) string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, answer)
	}
}

func serveConn(conn net.Conn, answer func(request *http.Request) string) {
	// The client may have closed the connection.
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// A connection that is closed with unread bytes is reset. A failed read makes the write fail.
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, answer(request))
}

// Listen starts Serve on a free port of the loopback interface. The caller closes the listener.
func Listen(answer func(request *http.Request) string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go Serve(listener, answer)
	return listener, nil
}
