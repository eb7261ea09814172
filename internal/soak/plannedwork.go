package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// queueTime is the time in which the queues of the slow service fill before the first planned stop.
	queueTime = 2 * time.Second
	// minStopInterval and maxStopInterval bound the time between the signals of two gateways, which stop for up to stopGrace.
	minStopInterval = time.Second
	maxStopInterval = 3 * time.Second
	slowClientCount = 16
)

// planWork stops the gateways in turn, with changes of the configuration, while no fault is active and the queues of the slow
// service are full.
func (d *deployment) planWork(seed uint64, total *counts) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range slowClientCount {
		c := &slowClient{checker: d.checker, counts: total, gateways: d.gateways, next: i}
		clients.Go(func() { c.run(ctx) })
	}
	time.Sleep(queueTime)
	random := rand.New(rand.NewPCG(seed, uint64(len(d.backends))))
	errs := make(chan error, len(d.gateways)+1)
	var stops sync.WaitGroup
	for _, i := range random.Perm(len(d.gateways)) {
		g := d.gateways[i]
		delay := randomDuration(random, minRestartDelay, maxRestartDelay)
		stop := d.gatewayFault("planned stop", g, func() error {
			d.checker.RecordPlannedStop(g.name)
			return g.restart(syscall.SIGTERM, delay)
		})
		stops.Go(func() { errs <- stop.inject() })
		time.Sleep(randomDuration(random, minStopInterval, maxStopInterval))
	}
	errs <- d.publishConfig()
	stops.Wait()
	cancel()
	clients.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
