package dev

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// runLoad runs all deployments concurrently and reports whether any invariant was violated.
func runLoad(ctx context.Context, f commandFlags, deployments []*Deployment, out io.Writer) bool {
	fmt.Fprintf(out, "running %d deployments for %s with seed %d\n", len(deployments), f.Duration, f.Seed)
	reports := make([]*Report, len(deployments))
	var wg sync.WaitGroup
	for i, d := range deployments {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reports[i] = d.Run(ctx, f)
		}()
	}
	wg.Wait()
	return writeReports(reports, out)
}

// writeReports prints all reports and returns whether any invariant was violated.
func writeReports(reports []*Report, out io.Writer) bool {
	violated := false
	for _, r := range reports {
		r.Write(out)
		violated = violated || r.Violated()
	}
	return violated
}

// Run sends load to the deployment and evaluates the result. During the run it performs planned stops, kills a gateway
// and freezes a backend server.
func (d *Deployment) Run(ctx context.Context, f commandFlags) *Report {
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	start := time.Now()
	injected := make(chan disruptions, 1)
	go func() { injected <- d.injectDisruptions(ctx, start, f.Duration) }()
	d.sendLoad(ctx, f)
	return newReport(d, <-injected, start, f.Duration)
}

// sendLoad sends the load of all clients until ctx ends and waits for the pending responses.
func (d *Deployment) sendLoad(ctx context.Context, f commandFlags) {
	d.Send(ctx, Load{Seed: f.Seed, Heavy: f.Heavy, Scale: f.Scale})
}
