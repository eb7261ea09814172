package node

import (
	"log"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/sapphireplank/sapphireplank/internal/admin"
)

// operators is the handler of the operators' port: health, readiness, metrics, profiles and the administration API.
func (n *Node) operators() http.Handler {
	s := &sources{node: n, configurer: newConfigurer(n)}
	api := admin.New(admin.Sources{
		Config:  s.configurer,
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

// health answers 200 while the control loop runs.
func (n *Node) health(w http.ResponseWriter, _ *http.Request) {
	if _, ok := n.loop.Status(); !ok {
		http.Error(w, "the control loop has ended; restart the process", http.StatusServiceUnavailable)
		return
	}
	writeText(w, "ok\n")
}

// ready answers 200 while the balancer should send callers here.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if !n.gateway.Ready() {
		http.Error(w, "no configuration yet, or draining", http.StatusServiceUnavailable)
		return
	}
	writeText(w, "ready\n")
}

func writeText(w http.ResponseWriter, text string) {
	// A failed write only means that the client has left.
	_, _ = w.Write([]byte(text))
}

// httpLog passes the messages of an HTTP server on at debug level: they are about connections of clients.
func httpLog(entry *logrus.Entry) *log.Logger {
	return log.New(debugWriter{entry}, "", 0)
}

// debugWriter writes each line as a debug message. Unlike logrus' own writer it needs no goroutine.
type debugWriter struct {
	entry *logrus.Entry
}

// Write logs one line.
func (w debugWriter) Write(line []byte) (int, error) {
	w.entry.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
