// Package soak plays random faults on real gateway processes and checks the promises to callers and backend servers
// meanwhile. The gateways run as processes of their own; the store and the backend servers are stand-ins in this one,
// behind proxies that delay, reset and silence connections.
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

// Options describe a run.
type Options struct {
	// Program is the path of the gateway program.
	Program string
	// Directory is for settings and logs.
	Directory string
	Seed      uint64
	// Duration is how long faults are played.
	Duration time.Duration
	// Output gets a line for each fault and the result.
	Output io.Writer
}

const (
	callerCount = 24
	// warmUp is how long the deployment has until faults begin, and recovery how long until it has to serve again.
	warmUp   = 3 * time.Second
	recovery = 15 * time.Second
	// faultEvery is the mean time between the beginnings of two faults, most of them at the same time.
	faultEvery = 900 * time.Millisecond
	maxFaults  = 3
	// servedShare is the share of requests that has to be served in checkSpan after the faults, as on the platform.
	servedShare = 0.25
	checkSpan   = time.Second
)

// ErrViolation means that a promise was broken.
var ErrViolation = errors.New("promise broken; the seed and the logs of the gateways show the way to the cause")

// Run plays one seed.
func Run(options Options) error {
	w, err := newWorld(options.Directory, options.Program)
	defer w.close()
	if err != nil {
		return err
	}
	var counted counts
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for i := range callerCount {
		c := &caller{
			ledger: w.ledger, counts: &counted, gateways: w.gateways, at: i,
			random: rand.New(rand.NewPCG(options.Seed, uint64(i)+1)),
		}
		callers.Go(func() { c.run(ctx) })
	}
	if err := awaitService(&counted, recovery); err != nil {
		return errors.Wrap(err, "before any fault")
	}
	time.Sleep(warmUp)
	if err := w.playFaults(options); err != nil {
		return err
	}
	served := awaitService(&counted, recovery)
	cancel()
	callers.Wait()
	fmt.Fprintf(options.Output, "seed %d: %d requests, %d served, %d refused, %d without an answer of use\n",
		options.Seed, counted.asked.Load(), counted.served.Load(), counted.refused.Load(), counted.failed.Load())
	if violations := w.ledger.Violations(); len(violations) > 0 {
		return errors.Wrapf(ErrViolation, "seed %d: %d times; the first: %s", options.Seed, len(violations), violations[0])
	}
	return served
}

// playFaults plays random faults for the length of the run, some of them at the same time, and waits for their ends.
func (w *world) playFaults(options Options) error {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	started := time.Now()
	running := make(chan struct{}, maxFaults)
	failures := make(chan error, 1)
	var faults sync.WaitGroup
	busy := newTargets()
	for time.Since(started) < options.Duration {
		running <- struct{}{}
		f := w.draw(random)
		faults.Go(func() {
			defer func() { <-running }()
			if !busy.take(f.target) {
				return
			}
			defer busy.leave(f.target)
			begun := time.Since(started)
			if err := f.play(); err != nil {
				select {
				case failures <- errors.Wrapf(err, "%s: %s", f.target, f.name):
				default:
				}
			}
			fmt.Fprintf(options.Output, "%8.3f to %.3f s  %s: %s\n", begun.Seconds(), time.Since(started).Seconds(), f.target, f.name)
		})
		time.Sleep(time.Duration(random.Int64N(int64(2 * faultEvery))))
	}
	faults.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

// ErrNotServed means that requests were not served in time after the last fault.
var ErrNotServed = errors.New("requests are not served again in time; look at the logs of the gateways")

// awaitService waits until most requests are served.
func awaitService(counted *counts, within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		asked, served := counted.asked.Load(), counted.served.Load()
		time.Sleep(checkSpan)
		asked, served = counted.asked.Load()-asked, counted.served.Load()-served
		if asked > 0 && float64(served) >= servedShare*float64(asked) {
			return nil
		}
	}
	return errors.Wrapf(ErrNotServed, "within %v", within)
}
