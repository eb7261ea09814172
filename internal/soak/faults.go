package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// fault is one disturbance of a part of the deployment. It takes as long as the function runs.
type fault struct {
	name string
	// target is the part; it has one fault at a time.
	target string
	play   func() error
}

// wholeDeployment is the target of faults that concern all parts alike.
const wholeDeployment = "all"

// Bounds of random times: of a fault, and of the pause before a process or server starts again.
const (
	shortestFault = 300 * time.Millisecond
	longestFault  = 6 * time.Second
	shortestPause = 50 * time.Millisecond
	longestPause  = time.Second
)

// stretch returns a random time.
func stretch(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// draw returns a random fault of a gateway, the store, a backend server or the configuration.
func (w *world) draw(random *rand.Rand) fault {
	g := w.gateways[random.IntN(len(w.gateways))]
	b := w.backends[random.IntN(len(w.backends))]
	length := stretch(random, shortestFault, longestFault)
	pause := stretch(random, shortestPause, longestPause)
	server := b.options.ID
	kinds := []fault{
		{"process stopped", g.name, func() error { return w.pauseGateway(g, length) }},
		{"process killed", g.name, func() error { return g.restart(syscall.SIGKILL, pause) }},
		{"process ended", g.name, func() error { return g.restart(syscall.SIGTERM, pause) }},
		{"store silent", g.name, func() error { return w.silence(g.store, length) }},
		{"store reset", g.name, func() error { return w.cut(g.store, length) }},
		{"store slow", g.name, func() error { return w.slow(g.store, length) }},
		{"store away", wholeDeployment, func() error { return w.storeAway(length) }},
		{"server silent", server, func() error { return w.silence(b.proxy, length) }},
		{"server reset", server, func() error { return w.cut(b.proxy, length) }},
		{"server slow", server, func() error { return w.slow(b.proxy, length) }},
		{"server restarted", server, func() error { return b.restart(pause) }},
		{"new configuration", wholeDeployment, w.configure},
	}
	return kinds[random.IntN(len(kinds))]
}

// pauseGateway stops a gateway's process for a time.
func (w *world) pauseGateway(g *gateway, length time.Duration) error {
	g.signal(syscall.SIGSTOP)
	time.Sleep(length)
	w.ledger.SuspendOwnershipCheck(time.Now().Add(thawSlack))
	g.signal(syscall.SIGCONT)
	return nil
}

func (w *world) silence(p *Proxy, length time.Duration) error {
	p.Stall()
	time.Sleep(length)
	w.ledger.SuspendOwnershipCheck(time.Now().Add(thawSlack))
	p.ClearFaults()
	return nil
}

func (w *world) cut(p *Proxy, length time.Duration) error {
	p.Disconnect()
	time.Sleep(length)
	p.ClearFaults()
	return nil
}

// slowBy is how much later bytes arrive on a slow connection.
const slowBy = 200 * time.Millisecond

func (w *world) slow(p *Proxy, length time.Duration) error {
	p.SetDelay(slowBy)
	time.Sleep(length)
	p.ClearFaults()
	return nil
}

func (w *world) storeAway(length time.Duration) error {
	for _, g := range w.gateways {
		g.store.Disconnect()
	}
	time.Sleep(length)
	for _, g := range w.gateways {
		g.store.ClearFaults()
	}
	return nil
}
