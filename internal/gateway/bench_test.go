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

// benchSlots is large, so that the benchmarks measure processing cost instead of queueing.
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
		LeaseEnd: func() time.Time { return time.Now().Add(time.Hour) }}, client)
	b.Cleanup(d.Close)
	return d
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// RUSAGE_SELF is always valid.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runLoad sends requests from parallel clients and reports the total CPU time per request of clients, gateways and
// backend.
func runLoad(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	before := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sendRequest(b, client, url)
		}
	})
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
}

func sendRequest(b *testing.B, client *http.Client, url string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		b.Error(err)
		return
	}
	r.Header.Set(HeaderSubscriber, "s")
	response, err := client.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Errorf("status %d", response.StatusCode)
	}
}

// BenchmarkDirect measures client and backend without a proxy.
func BenchmarkDirect(b *testing.B) {
	runLoad(b, newBenchBackend(b).URL+"/status/7")
}

// BenchmarkPlainProxy is the baseline for one proxy: a minimal net/http proxy without routing or retries.
func BenchmarkPlainProxy(b *testing.B) {
	runLoad(b, newPlainProxy(b, newBenchBackend(b).URL).URL+"/status/7")
}

// BenchmarkTwoPlainProxies is the baseline for two proxies in series.
func BenchmarkTwoPlainProxies(b *testing.B) {
	runLoad(b, newPlainProxy(b, newPlainProxy(b, newBenchBackend(b).URL).URL).URL+"/status/7")
}

func newPlainProxy(b *testing.B, target string) *httptest.Server {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.RequestURI(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		copyHeader(out.Header, r.Header)
		response, err := client.Do(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		copyHeader(w.Header(), response.Header)
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	b.Cleanup(proxy.Close)
	b.Cleanup(client.CloseIdleConnections)
	return proxy
}

// BenchmarkGatewayLocal measures requests that arrive at the home gateway of the backend server.
func BenchmarkGatewayLocal(b *testing.B) {
	d := newBenchDispatcher(b, newBenchBackend(b))
	p := newGatewayPair(b, fakeDispatchers{"s1": d.Do})
	entryServer := httptest.NewServer(p.home)
	b.Cleanup(entryServer.Close)
	runLoad(b, entryServer.URL+"/v1/shared/status/7")
}

// BenchmarkGatewayForwarded measures requests that are forwarded to the home gateway by another gateway.
func BenchmarkGatewayForwarded(b *testing.B) {
	d := newBenchDispatcher(b, newBenchBackend(b))
	p := newGatewayPair(b, fakeDispatchers{"s1": d.Do})
	runLoad(b, p.entryServer.URL+"/v1/shared/status/7")
}
