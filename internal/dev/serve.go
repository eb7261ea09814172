package dev

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// serve prints the addresses of all gateways and waits for the end of ctx.
func serve(ctx context.Context, deployments []*Deployment, out io.Writer) error {
	for _, d := range deployments {
		fmt.Fprintf(out, "%s (team %s)\n", d.Name, d.Config.Team)
		for _, host := range d.Config.Hosts {
			fmt.Fprintf(out, "  %s\tcallers http://%s\toperators http://%s\n", host.Name, host.CallerAddress, host.AdminAddress)
		}
	}
	fmt.Fprintln(out, "serving; end with Ctrl-C")
	<-ctx.Done()
	return nil
}

// lockedWriter lets several event logs share one file.
type lockedWriter struct {
	// mu protects the fields below.
	mu sync.Mutex
	w  io.Writer
}

// Write writes p as a whole.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
