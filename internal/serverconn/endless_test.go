package serverconn

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/bytebudget"
	"github.com/sapphireplank/sapphireplank/internal/endless"
)

// endlessScript runs a reply that does not end.
func endlessScript(reply endless.Reply) script {
	return func(conn *net.TCPConn, requests <-chan *http.Request) {
		<-requests
		// The write fails once the connection is closed.
		_ = reply.Send(conn)
	}
}

// endlessResponses returns responses without end by name.
func endlessResponses() map[string]script {
	scripts := map[string]script{
		"answers of others": endlessScript(endless.Responses("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok")),
	}
	for _, reply := range endless.Replies("Id: a\r\n") {
		scripts[reply.Name] = endlessScript(reply)
	}
	return scripts
}

// Guards against a request that does not end, or counts as not sent, because its server sends bytes without end, and
// against a connection that stays open.
func TestEndlessResponses(t *testing.T) {
	for name, run := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			pool, _ := startServer(t, func(conn *net.TCPConn, requests <-chan *http.Request) {
				run(conn, requests)
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			_, err := pool.Do(ctx, &Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}})
			if err == nil || errors.Is(err, ErrNotSent) {
				t.Fatalf("error %v, want one by which the request may have run", err)
			}
			<-closed
		})
	}
}

// hostMemory is the memory of the smallest hosts of the users' platform. The program lets bodies take a quarter of it and
// asks the garbage collector to stay below seven tenths.
const hostMemory = 184 << 20

// Guards against memory that grows with the number of servers that send bytes without end, beyond that of a host.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const servers, bodyMemory = 200, hostMemory / 4
	defer debug.SetGCPercent(debug.SetGCPercent(60))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(hostMemory / 10 * 7))
	budget := bytebudget.New(bodyMemory)
	settings := Settings{MaxIdle: time.Minute, MaxIdleAtMostOnce: time.Minute, MaxResponseBodyBytes: bodyMemory}
	var requests sync.WaitGroup
	for range servers {
		pool, _ := startServerWith(t, settings, endlessResponses()["body"])
		requests.Go(func() {
			account := budget.Account()
			defer account.Release()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			request := &Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"a"}}, Memory: account}
			if _, err := pool.Do(ctx, request); err == nil {
				t.Error("a response without end is complete")
			}
		})
	}
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	highest := highestHeap(done)
	if highest > hostMemory {
		t.Errorf("%d bytes on the heap of a host with %d", highest, hostMemory)
	}
	t.Logf("at most %d MiB on the heap, %d servers, %d MiB for bodies", highest>>20, servers, bodyMemory>>20)
	if budget.Reserved() != 0 {
		t.Errorf("%d bytes still reserved", budget.Reserved())
	}
}

// highestHeap returns the highest number of bytes on the heap until done is closed.
func highestHeap(done <-chan struct{}) uint64 {
	highest := uint64(0)
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		highest = max(highest, stats.HeapAlloc)
		select {
		case <-done:
			return highest
		case <-time.After(5 * time.Millisecond):
		}
	}
}
