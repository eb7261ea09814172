package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/home"
)

// benchSlots is large, so that the benchmarks measure cost and not queueing.
const benchSlots = 256

func newBenchBackend(b *testing.B) *httptest.Server {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
		_, _ = io.WriteString(w, "status: ready")
	}))
	b.Cleanup(server.Close)
	return server
}

func newBenchDispatcher(b *testing.B, server *httptest.Server) *home.Dispatcher {
	b.Helper()
	client := backend.New(backend.Options{Address: strings.TrimPrefix(server.URL, "http://"), Slots: benchSlots})
	d := home.Open(home.Config{Service: "shared", Server: "s1", Slots: benchSlots,
		Lease: func() time.Time { return time.Now().Add(time.Hour) }}, client)
	b.Cleanup(d.Close)
	return d
}

// cpuTime returns the processor time of the process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// RUSAGE_SELF is always valid.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// load sends requests from parallel callers and reports the processor time of callers, gateways and backend together.
func load(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	before := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sendOne(b, client, url)
		}
	})
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
}

func sendOne(b *testing.B, client *http.Client, url string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		b.Error(err)
		return
	}
	r.Header.Set(HeaderSubscriber, "s")
	answer, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		b.Errorf("status %d", answer.StatusCode)
	}
}

// BenchmarkDirect is the cost of callers and backend alone.
func BenchmarkDirect(b *testing.B) {
	load(b, newBenchBackend(b).URL+"/status/7")
}

// BenchmarkRelay is the baseline: a plain relay on net/http without any rule.
func BenchmarkRelay(b *testing.B) {
	load(b, newRelay(b, newBenchBackend(b).URL).URL+"/status/7")
}

// BenchmarkRelayTwice is the baseline of two relays one behind the other.
func BenchmarkRelayTwice(b *testing.B) {
	load(b, newRelay(b, newRelay(b, newBenchBackend(b).URL).URL).URL+"/status/7")
}

func newRelay(b *testing.B, target string) *httptest.Server {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		copyHeader(out.Header, r.Header)
		answer, err := client.Do(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer answer.Body.Close()
		copyHeader(w.Header(), answer.Header)
		w.WriteHeader(answer.StatusCode)
		_, _ = io.Copy(w, answer.Body)
	}))
	b.Cleanup(relay.Close)
	b.Cleanup(client.CloseIdleConnections)
	return relay
}

// BenchmarkGatewayAtHome is a request whose entry gateway is the home of the backend server.
func BenchmarkGatewayAtHome(b *testing.B) {
	d := newBenchDispatcher(b, newBenchBackend(b))
	p := newPair(b, fakeHomes{"s1": d.Do})
	atHome := httptest.NewServer(p.home)
	b.Cleanup(atHome.Close)
	load(b, atHome.URL+"/v1/shared/status/7")
}

// BenchmarkGatewayForwarded is a request that passes another gateway.
func BenchmarkGatewayForwarded(b *testing.B) {
	d := newBenchDispatcher(b, newBenchBackend(b))
	p := newPair(b, fakeHomes{"s1": d.Do})
	load(b, p.caller.URL+"/v1/shared/status/7")
}
