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
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 20 * time.Second
	// settleTime passes before the load starts, so that the first assignments are settled.
	settleTime = 500 * time.Millisecond
)

// scenario is one column of an experiment: a deployment with a load and what happens to it.
type scenario struct {
	name string
	// configure changes the configuration before the start. Default: none.
	configure func(*config.Config)
	// serviceTime is the mean execution time of the backend servers. Default: that of package dev.
	serviceTime func(o *Options) time.Duration
	// load describes the load. Default: light subscribers only.
	load func(o *Options, l *dev.Load)
	// faults is true if the connections between gateways can be cut.
	faults bool
	// act causes what the scenario is about. The load goes on until it has returned and the duration is over.
	act func(ctx context.Context, r *run) error
	// evaluate adds further figures. Default: none.
	evaluate func(r *run)
	// calm is true if no request may fail.
	calm bool
}

func (s *scenario) run(o *Options, seed uint64) (*run, error) {
	r, err := s.start(o, seed)
	if err != nil {
		return nil, err
	}
	defer r.deployment.Close()
	if err := s.drive(r); err != nil {
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
	if s.faults {
		r.network = dev.NewNetwork(c)
		options.Network = r.network
	}
	if s.serviceTime != nil {
		options.ServiceTime = s.serviceTime(o)
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

// drive sends the load while the scenario acts.
func (s *scenario) drive(r *run) error {
	load := dev.Load{Seed: r.seed, Scale: r.options.Scale}
	if s.load != nil {
		s.load(r.options, &load)
	}
	load.Route = r.route()
	r.begin()
	ctx, cancel := context.WithCancel(context.Background())
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		r.deployment.Send(ctx, load)
	}()
	err := s.actFor(r)
	r.duration = time.Since(r.start)
	cancel()
	<-loaded
	r.finish()
	return err
}

// actFor acts and returns after the duration of the run, or later if the scenario takes longer.
func (s *scenario) actFor(r *run) error {
	end := r.start.Add(r.options.Duration)
	if s.act != nil {
		if err := s.act(context.Background(), r); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(end))
	return nil
}
