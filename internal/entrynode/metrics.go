package entrynode

import (
	"net"
	"net/http"
	"strconv"
)

const metricsPath = "/metrics"

// serveMetrics serves the metrics in the Prometheus text format. A failure is logged and does not affect traffic.
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
		n.metrics.SetLimitedServers(n.dispatcher.LimitedServers())
		n.metrics.SetSlowStartServers(n.dispatcher.SlowStartServers())
		n.metrics.SetHeldOffServers(n.dispatcher.HeldOffServers())
		handler.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	if err := server.Serve(listener); err != nil {
		n.log.WithError(err).Warning("metrics are no longer served")
	}
}
