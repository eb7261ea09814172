package dev

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// serve prints the addresses of all gateways and waits for the end of ctx. With --load it also sends load, prints a
// report at the end and returns whether any invariant was violated.
func serve(ctx context.Context, f commandFlags, deployments []*Deployment, out io.Writer) bool {
	for _, d := range deployments {
		d.writeAddresses(out)
	}
	fmt.Fprintf(out, "operator token: %s (export PLANK_TOKEN=%s)\n", operatorToken, operatorToken)
	fmt.Fprintln(out, "serving; stop with Ctrl-C")
	if !f.Load {
		<-ctx.Done()
		return false
	}
	return serveLoad(ctx, f, deployments, out)
}

func (d *Deployment) writeAddresses(out io.Writer) {
	fmt.Fprintf(out, "%s (team %s)\n", d.Name, d.Config.Team)
	for _, host := range d.Config.Hosts {
		fmt.Fprintf(out, "  %s\tclients http://%s\toperators http://%s\n", host.Name, host.CallerAddress, host.AdminAddress)
	}
}

func serveLoad(ctx context.Context, f commandFlags, deployments []*Deployment, out io.Writer) bool {
	reports := make([]*Report, len(deployments))
	var wg sync.WaitGroup
	for i, d := range deployments {
		wg.Add(1)
		go func() {
			defer wg.Done()
			start := time.Now()
			d.sendLoad(ctx, f)
			reports[i] = newReport(d, disruptions{}, start, time.Since(start))
		}()
	}
	wg.Wait()
	return writeReports(reports, out)
}
