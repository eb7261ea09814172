package dev

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// runLoad runs all deployments at the same time and reports whether any promise was broken.
func runLoad(ctx context.Context, f flagSet, deployments []*Deployment, out io.Writer) bool {
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

// writeReports prints all reports and returns whether any promise was broken.
func writeReports(reports []*Report, out io.Writer) bool {
	violated := false
	for _, r := range reports {
		r.Write(out)
		violated = violated || r.Violated()
	}
	return violated
}

// Run sends load to the deployment, loses a gateway and a backend server on the way, and evaluates the result.
func (d *Deployment) Run(ctx context.Context, f flagSet) *Report {
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	start := time.Now()
	lost := make(chan failures, 1)
	go func() { lost <- d.inject(ctx, start, f.Duration) }()
	d.load(ctx, f)
	return newReport(d, <-lost, start, f.Duration)
}

// load sends the load of all callers until ctx ends.
func (d *Deployment) load(ctx context.Context, f flagSet) {
	d.Send(ctx, Load{Seed: f.Seed, Heavy: f.Heavy, Scale: f.Scale})
}
