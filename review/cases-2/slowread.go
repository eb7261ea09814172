package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/platform"
)

const (
	// documentBytes is the length of an answer, and readRate the rate in bytes a second at which a client reads it.
	documentBytes = 12 << 20
	readRate      = 1200 << 10
	// readers is the number of clients, each with one connection.
	readers = 5
)

const documentConfig = `{"version":"r1",
"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","service"],
"rows":[["fee","fee.example","/fee/","unsafe",12000,2000,0,null,2,"feeledger"]]},
"services":{"columns":["name","healthPath","maxConns","sharded"],"rows":[["feeledger","/healthz",130,null]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// slowRead lets clients read long answers slowly, but all the time.
func slowRead(e *environment) ([]string, error) {
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	defer st.server.Close()
	if err := st.put(platform.ConfigKey, documentConfig); err != nil {
		return nil, err
	}
	for i := range 4 {
		id := fmt.Sprintf("i-%02d", i)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get(platform.HeaderRequestID)
			e.logf("%s: runs %s", id, attempt)
			time.Sleep(20 * time.Millisecond)
			w.Header().Set(platform.HeaderRequestID, attempt)
			w.Header().Set(platform.HeaderSignature, "seal-"+attempt)
			length := 100
			if r.URL.Path == "/fee/document" {
				length = documentBytes
			}
			w.Header().Set("Content-Length", fmt.Sprint(length))
			if n, err := w.Write(make([]byte, length)); err == nil {
				e.logf("%s: answered %s with %d bytes", id, attempt, n)
			}
		})}
		go func() { _ = server.Serve(listener) }()
		if err := st.register(id, "feeledger", listener.Addr().String(), 6, time.Now().UnixMilli(), 1); err != nil {
			return nil, err
		}
	}
	g, err := e.newGateway("edge-1", st.addr)
	if err != nil {
		return nil, err
	}
	defer g.kill()
	if err := g.start(); err != nil {
		return nil, err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	var broken []string
	e.logf("first, without planned work")
	if cut := readDocuments(e, g.front, "calm"); len(cut) > allowedCuts {
		broken = append(broken, cut...)
	}
	e.logf("then, around a planned stop")
	stopped := make(chan struct{})
	time.AfterFunc(stopAfter, func() {
		defer close(stopped)
		e.logf("SIGTERM to %s", g.name)
		// An error shows as a process that does not end.
		_ = g.command.Process.Signal(syscall.SIGTERM)
	})
	broken = append(broken, readDocuments(e, g.front, "stop")...)
	<-stopped
	<-g.done
	e.logf("%s has ended", g.name)
	return broken, nil
}

// allowedCuts is the number of requests that the rule allows to be cut at any time.
const allowedCuts = 3

// stopAfter is when the planned stop begins, counted from the first request. Until the end of the grace period of 6 s all answers
// can be read to their ends: a client takes some 10.3 s.
const stopAfter = 4800 * time.Millisecond

// readDocuments lets the clients read, and returns what was cut.
func readDocuments(e *environment, addr, name string) []string {
	var mu sync.Mutex
	var cut []string
	var clients sync.WaitGroup
	for n := range readers {
		clients.Go(func() {
			if err := readDocument(e, addr, fmt.Sprintf("%s-%d", name, n)); err != nil {
				mu.Lock()
				defer mu.Unlock()
				cut = append(cut, "LOST: "+err.Error())
			}
		})
	}
	clients.Wait()
	return cut
}

// readDocument sends a short request and one with a long answer over one connection, and reads the answers.
func readDocument(e *environment, addr, name string) error {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, 16<<10)
	for _, path := range []string{"/fee/short", "/fee/document"} {
		id := name + path
		started := time.Now()
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: fee.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 12000\r\nContent-Length: 2\r\n\r\n{}", path, id); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("%s: no answer: %w", id, err)
		}
		got, buffer := int64(0), make([]byte, 16<<10)
		for err == nil {
			var count int
			count, err = io.ReadFull(response.Body, buffer)
			got += int64(count)
			if e.trouble && err == nil {
				time.Sleep(time.Until(started.Add(time.Duration(float64(got) / readRate * float64(time.Second)))))
			}
		}
		e.logf("client: %s: status %d, %d of %d bytes after %.1f s, %v", id, response.StatusCode, got, response.ContentLength, time.Since(started).Seconds(), err)
		if got != response.ContentLength {
			return fmt.Errorf("%s is answered with %d of %d bytes, and the connection ends after %.1f of 12 s", id, got, response.ContentLength, time.Since(started).Seconds())
		}
	}
	return nil
}
