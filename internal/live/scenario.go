package live

import (
	"context"
	"time"

	"github.com/sapphireplank/sapphireplank/examples"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/dev"
	"github.com/sapphireplank/sapphireplank/internal/logging"
)

const (
	// readyTimeout limits the time that a deployment takes to become ready.
	readyTimeout = 20 * time.Second
	// settleTime is the wait between readiness and the start of the load, so that the initial assignments are complete.
	settleTime = 500 * time.Millisecond
)

// scenario is one column of an experiment: a deployment, its load, and the faults or operations during the load.
type scenario struct {
	name string
	// configure changes the configuration before the start. Nil changes nothing.
	configure func(*config.Config)
	// runTime returns the mean run time of requests on the backend servers. Nil uses the default of package dev.
	runTime func(o *Options) time.Duration
	// load changes the load. Nil leaves light subscribers only.
	load func(o *Options, l *dev.Load)
	// networkFaults makes it possible to cut connections between gateways.
	networkFaults bool
	// action injects the faults or runs the operations of the scenario. The load continues until action has returned
	// and the duration of the run has passed.
	action func(ctx context.Context, r *run) error
	// evaluate adds further figures. Nil adds none.
	evaluate func(r *run)
	// expectNoFailures is true if no request may fail.
	expectNoFailures bool
}

func (s *scenario) run(o *Options, seed uint64) (*run, error) {
	r, err := s.start(o, seed)
	if err != nil {
		return nil, err
	}
	defer r.deployment.Close()
	if err := s.runLoad(r); err != nil {
		return nil, err
	}
	r.evaluate()
	return r, nil
}

func (s *scenario) start(o *Options, seed uint64) (*run, error) {
	c, err := examples.Config(o.Deployment)
	if err != nil {
		return nil, err
	}
	if s.configure != nil {
		s.configure(c)
	}
	if err := moveToFreePorts(c); err != nil {
		return nil, err
	}
	options := dev.Options{Name: o.Deployment, Config: c, Logs: logging.Discard(), Seed: seed}
	r := &run{scenario: s, options: o, seed: seed}
	if s.networkFaults {
		r.network = dev.NewNetwork(c)
		options.Network = r.network
	}
	if s.runTime != nil {
		options.RunTime = s.runTime(o)
	}
	if r.deployment, err = dev.Start(options); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := r.deployment.WaitReady(ctx); err != nil {
		r.deployment.Close()
		return nil, err
	}
	time.Sleep(settleTime)
	return r, nil
}

// runLoad sends the load while the action of the scenario runs.
func (s *scenario) runLoad(r *run) error {
	load := dev.Load{Seed: r.seed, Scale: r.options.Scale}
	if s.load != nil {
		s.load(r.options, &load)
	}
	load.Route = r.route()
	r.startMeasurement()
	ctx, cancel := context.WithCancel(context.Background())
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		r.deployment.Send(ctx, load)
	}()
	err := s.runAction(r)
	r.duration = time.Since(r.start)
	cancel()
	<-loadDone
	r.stopMeasurement()
	return err
}

// runAction runs the action and returns after the duration of the run, or later if the action takes longer.
func (s *scenario) runAction(r *run) error {
	end := r.start.Add(r.options.Duration)
	if s.action != nil {
		if err := s.action(context.Background(), r); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(end))
	return nil
}
