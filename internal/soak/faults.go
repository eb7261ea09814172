package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one disturbance. It takes as long as the function runs.
type fault struct {
	name string
	play func() error
}

// stretch returns a random time.
func stretch(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// draw returns a random fault of a gateway, the store, a backend server or the configuration.
func (w *world) draw(random *rand.Rand) fault {
	g := w.gateways[random.IntN(len(w.gateways))]
	b := w.backends[random.IntN(len(w.backends))]
	length := stretch(random, 300*time.Millisecond, 6*time.Second)
	pause := stretch(random, 50*time.Millisecond, time.Second)
	kinds := []fault{
		{"stop " + g.name, func() error { return w.pauseGateway(g, length) }},
		{"kill " + g.name, func() error { return g.restart(syscall.SIGKILL, pause) }},
		{"end " + g.name, func() error { return g.restart(syscall.SIGTERM, pause) }},
		{"silent store for " + g.name, func() error { return w.silence(g.store, length) }},
		{"reset store for " + g.name, func() error { return w.cut(g.store, length) }},
		{"slow store for " + g.name, func() error { return w.slow(g.store, length) }},
		{"store away for all", func() error { return w.storeAway(length) }},
		{"silent server " + b.options.ID, func() error { return w.silence(b.proxy, length) }},
		{"reset server " + b.options.ID, func() error { return w.cut(b.proxy, length) }},
		{"slow server " + b.options.ID, func() error { return w.slow(b.proxy, length) }},
		{"crash server " + b.options.ID, func() error { return b.restart(pause) }},
		{"new configuration", w.configure},
	}
	chosen := kinds[random.IntN(len(kinds))]
	chosen.name = fmt.Sprintf("%s (%v)", chosen.name, length.Round(time.Millisecond))
	return chosen
}

// pauseGateway stops a gateway's process for a time.
func (w *world) pauseGateway(g *gateway, length time.Duration) error {
	g.signal(syscall.SIGSTOP)
	time.Sleep(length)
	w.ledger.Excuse(time.Now().Add(thawSlack))
	g.signal(syscall.SIGCONT)
	return nil
}

func (w *world) silence(p *Proxy, length time.Duration) error {
	p.Silence()
	time.Sleep(length)
	w.ledger.Excuse(time.Now().Add(thawSlack))
	p.Heal()
	return nil
}

func (w *world) cut(p *Proxy, length time.Duration) error {
	p.Break()
	time.Sleep(length)
	p.Heal()
	return nil
}

// slowBy is how much later bytes arrive on a slow connection.
const slowBy = 200 * time.Millisecond

func (w *world) slow(p *Proxy, length time.Duration) error {
	p.Delay(slowBy)
	time.Sleep(length)
	p.Heal()
	return nil
}

func (w *world) storeAway(length time.Duration) error {
	for _, g := range w.gateways {
		g.store.Break()
	}
	time.Sleep(length)
	for _, g := range w.gateways {
		g.store.Heal()
	}
	return nil
}
