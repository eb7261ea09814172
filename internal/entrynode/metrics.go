package entrynode

import (
	"net"
	"net/http"
	"strconv"
)

// metricsPath is where the metrics are served.
const metricsPath = "/metrics"

// serveMetrics serves the metrics in the Prometheus text format. Traffic goes on without them.
func (n *Node) serveMetrics() {
	settings := n.settings.Load()
	if settings.MetricsPort == 0 {
		return
	}
	addr := net.JoinHostPort(settings.Address, strconv.Itoa(settings.MetricsPort))
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		n.log.WithError(err).WithField("addr", addr).Warning("metrics are not served; choose a free port in [metrics] port")
		return
	}
	handler := n.metrics.Handler()
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, r *http.Request) {
		n.metrics.SetSuspendedServers(n.dispatcher.SuspendedServers())
		handler.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readinessTimeout}
	if err := server.Serve(listener); err != nil {
		n.log.WithError(err).Warning("metrics are no longer served")
	}
}
