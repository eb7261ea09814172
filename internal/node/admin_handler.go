package node

import (
	"log"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

// adminHandler returns the handler of the administration port: health, readiness, metrics, profiles and the
// administration API.
func (n *Node) adminHandler() http.Handler {
	s := &adminSources{node: n, configs: newConfigService(n)}
	api := admin.New(admin.Sources{
		Config:  s.configs,
		Status:  s,
		Owners:  s,
		Stops:   s,
		Explain: s,
	}, n.options.Tokens, n.options.Events, n.options.Logs.Component("admin"))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", n.health)
	mux.HandleFunc("GET /readyz", n.ready)
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	mux.Handle("/", api)
	return mux
}

// health responds with status 200 while the control loop runs.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	if _, ok := n.loop.Status(); !ok {
		http.Error(w, "the control loop has ended; restart the process", http.StatusServiceUnavailable)
		return
	}
	writeText(w, "ok\n")
}

// ready responds with status 200 while the load balancer should send requests to this gateway.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if !n.gateway.Ready() {
		http.Error(w, "no configuration yet, or draining", http.StatusServiceUnavailable)
		return
	}
	writeText(w, "ready\n")
}

func writeText(w http.ResponseWriter, text string) {
	// A write fails only if the client has closed the connection.
	_, _ = w.Write([]byte(text))
}

// newHTTPErrorLog returns the error log of an HTTP server. It logs at debug level, because the messages are about
// connections of clients.
func newHTTPErrorLog(entry *logrus.Entry) *log.Logger {
	return log.New(debugWriter{entry}, "", 0)
}

// debugWriter logs each line at debug level. Unlike the writer of logrus it needs no goroutine.
type debugWriter struct {
	entry *logrus.Entry
}

func (w debugWriter) Write(line []byte) (int, error) {
	w.entry.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
