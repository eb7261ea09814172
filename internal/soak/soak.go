// Package soak is a fault injection test. It injects random faults into real gateway processes and meanwhile checks the
// guarantees to clients and backend servers. The gateways are separate processes. The store and the backend servers are
// simulated in the current process, behind proxies that delay, reset and stall connections.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	// Program is the path of the gateway executable.
	Program string
	// Directory is where settings and logs are written.
	Directory string
	// Seed determines the sequence of faults and requests.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Faults is a part of the names of the faults that are injected. If it is empty, all are.
	Faults string
	// Output receives a line for each fault, and the result.
	Output io.Writer
}

const (
	clientCount = 24
	// warmUp is the time between the first served requests and the first fault. recoveryTimeout limits the time until
	// requests are served, both at the start and after the last fault.
	warmUp          = 3 * time.Second
	recoveryTimeout = 15 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. At most maxConcurrentFaults overlap.
	meanFaultInterval   = 900 * time.Millisecond
	maxConcurrentFaults = 3
	// minServedShare is the share of the requests within servedWindow that must be served for the deployment to count
	// as recovered. The platform uses the same bound.
	minServedShare = 0.25
	servedWindow   = time.Second
)

// ErrViolation means that a guarantee was violated.
var ErrViolation = errors.New("guarantee violated; use the seed and the gateway logs to find the cause")

// Run starts a deployment, injects the faults of one seed and returns an error if a guarantee was violated or the
// deployment did not recover.
func Run(options Options) error {
	d, err := newDeployment(options.Directory, options.Program)
	defer d.close()
	if err != nil {
		return err
	}
	var total counts
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.copyStore(ctx)
	var clients sync.WaitGroup
	for i := range clientCount {
		c := &client{
			checker: d.checker, counts: &total, gateways: d.gateways, gatewayIndex: i,
			random: rand.New(rand.NewPCG(options.Seed, uint64(i)+1)),
		}
		clients.Go(func() { c.run(ctx) })
	}
	if err := awaitServing(&total, recoveryTimeout); err != nil {
		return errors.Wrap(err, "before the first fault")
	}
	time.Sleep(warmUp)
	if err := d.injectFaults(options); err != nil {
		return err
	}
	recoveryErr := errors.CombineErrors(awaitServing(&total, recoveryTimeout), d.checkConfig())
	if err := d.planWork(options.Seed, &total); err != nil {
		return err
	}
	cancel()
	clients.Wait()
	fmt.Fprintf(options.Output, "seed %d: %d requests, %d served, %d refused, %d failed\n",
		options.Seed, total.sent.Load(), total.served.Load(), total.refused.Load(), total.failed.Load())
	d.checkLimits()
	d.checkNotices()
	if violations := d.checker.Violations(); len(violations) > 0 {
		return errors.Wrapf(ErrViolation, "seed %d: %d violations; the first: %s", options.Seed, len(violations), violations[0])
	}
	return recoveryErr
}

// injectFaults injects random faults for the length of the run, some of them concurrently, and waits until all have
// ended.
func (d *deployment) injectFaults(options Options) error {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	runStart := time.Now()
	semaphore := make(chan struct{}, maxConcurrentFaults)
	firstErr := make(chan error, 1)
	var faults sync.WaitGroup
	locks := newTargetLocks()
	for time.Since(runStart) < options.Duration {
		f, err := d.randomFault(random, options.Faults)
		if err != nil {
			return err
		}
		semaphore <- struct{}{}
		faults.Go(func() {
			defer func() { <-semaphore }()
			if !locks.tryLock(f.target) {
				return
			}
			defer locks.unlock(f.target)
			faultStart := time.Since(runStart)
			if err := f.inject(); err != nil {
				select {
				case firstErr <- errors.Wrapf(err, "%s: %s", f.target, f.name):
				default:
				}
			}
			fmt.Fprintf(options.Output, "%8.3f to %.3f s  %s: %s\n", faultStart.Seconds(), time.Since(runStart).Seconds(), f.target, f.name)
		})
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanFaultInterval))))
	}
	faults.Wait()
	select {
	case err := <-firstErr:
		return err
	default:
		return nil
	}
}

// ErrNotServed means that too few requests were served in time, at the start or after the last fault.
var ErrNotServed = errors.New("deployment does not serve requests in time; inspect the gateway logs")

// awaitServing waits until the share of served requests reaches minServedShare.
func awaitServing(total *counts, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		sent, served := total.sent.Load(), total.served.Load()
		time.Sleep(servedWindow)
		sent, served = total.sent.Load()-sent, total.served.Load()-served
		if sent > 0 && float64(served) >= minServedShare*float64(sent) {
			return nil
		}
	}
	return errors.Wrapf(ErrNotServed, "timeout %v", timeout)
}
