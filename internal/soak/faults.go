package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// fault is a fault of one component, or of the whole deployment.
type fault struct {
	name string
	// target is the affected component, or wholeDeployment. A target has one fault at a time.
	target string
	// inject returns at the end of the fault.
	inject func() error
}

// wholeDeployment is the target of faults that affect all components.
const wholeDeployment = "all"

// Bounds of the random duration of a fault, and of the delay before a process or server is restarted.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	minRestartDelay  = 50 * time.Millisecond
	maxRestartDelay  = time.Second
)

// randomDuration returns a random duration of at least low and less than high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// randomFault returns a random fault of a gateway, the store, a backend server or the configuration, whose name contains part.
func (d *deployment) randomFault(random *rand.Rand, part string) (fault, error) {
	faults := slices.DeleteFunc(d.allFaults(random), func(f fault) bool { return !strings.Contains(f.name, part) })
	if len(faults) == 0 {
		return fault{}, errors.Wrapf(ErrUnknownFault, "%q", part)
	}
	return faults[random.IntN(len(faults))], nil
}

// ErrUnknownFault means that no fault has the name that was asked for.
var ErrUnknownFault = errors.New("no fault has this in its name; see docs/notes/soak.md")

// allFaults returns a fault of each kind, with a random component and length.
func (d *deployment) allFaults(random *rand.Rand) []fault {
	g := d.gateways[random.IntN(len(d.gateways))]
	b := d.backends[random.IntN(len(d.backends))]
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	restartDelay := randomDuration(random, minRestartDelay, maxRestartDelay)
	serverID := b.options.ID
	age := random.IntN(maxCopies)
	limit := minLimit + random.Float64()*(maxLimit-minLimit)
	retryAfter := randomDuration(random, minRetryAfter, maxRetryAfter)
	lateness := randomDuration(random, minLateness, maxLateness)
	form := 1 + random.IntN(standin.EndlessForms)
	elected := d.elected(random)
	keyed := d.backends[random.IntN(keyedBackendCount)]
	cut := randomDuration(random, minCut, maxCut)
	uploads := d.backends[keyedBackendCount+random.IntN(onceBackendCount)]
	return []fault{
		d.gatewayFault("process paused", g, func() error { return d.pauseGateway(g, duration) }),
		d.gatewayFault("process killed", g, func() error { return g.restart(syscall.SIGKILL, restartDelay) }),
		d.gatewayFault("process terminated", g, func() error { return g.restart(syscall.SIGTERM, restartDelay) }),
		d.gatewayFault("process killed, its orders held back", elected, func() error { return d.holdBackOrders(elected, keyed, cut, restartDelay) }),
		d.gatewayFault("store connections stalled", g, func() error { return d.stall(g.storeProxy, duration) }),
		d.gatewayFault("store connections reset", g, func() error { return d.disconnect(g.storeProxy, duration) }),
		d.gatewayFault("store connections delayed", g, func() error { return d.delay(g.storeProxy, duration) }),
		{"store unreachable", wholeDeployment, func() error { return d.disconnectStore(duration) }},
		{"server connections stalled", serverID, func() error { return d.stall(b.proxy, duration) }},
		{"server connections reset", serverID, func() error { return d.disconnect(b.proxy, duration) }},
		{"server connections delayed", serverID, func() error { return d.delay(b.proxy, duration) }},
		{"server limits its requests", serverID, func() error { return limitRequests(b, limit, duration) }},
		{"server says that it leaves", serverID, func() error { return d.leave(b, duration, restartDelay) }},
		{"server wants no requests", serverID, func() error { return d.turnAway(b, duration, retryAfter) }},
		{"server repeats answers", d.single.options.ID, func() error { return answerWrongly(d.single.options.Answers.Repeat, duration) }},
		{"server answers orders without end", serverID, func() error { return answerEndlessly(b.options.Answers.AnswerOrders, form, duration) }},
		{"server answers requests without end", serverID, func() error { return answerEndlessly(b.options.Answers.AnswerRequests, form, duration) }},
		{"server sends malformed answers", serverID, func() error { return answerWrongly(b.options.Answers.AnswerMalformed, duration) }},
		{"server cuts off answers to uploads", uploads.options.ID, func() error { return answerWrongly(uploads.options.Answers.CutUploads, duration) }},
		{"servers reject uploads early", wholeDeployment, func() error { return answerWrongly(d.rejectUploads, duration) }},
		{"server fails requests with any status", serverID, func() error { return answerWrongly(b.options.Answers.Fail, duration) }},
		{"server restarted, late entry", serverID, func() error { return d.restartWithLateEntry(b, restartDelay, lateness) }},
		{"store restored", wholeDeployment, func() error { return d.restoreStore(duration/awayShare, age) }},
		{"server restarted", serverID, func() error { return b.restart(restartDelay) }},
		{"new configuration", wholeDeployment, d.publishConfig},
		{"zone drained", wholeDeployment, func() error { return d.drainZone(b.options.Zone, duration) }},
	}
}

// gatewayFault returns a fault of a gateway. Until the gateway has recovered, its requests are left out of the check of
// limits.
func (d *deployment) gatewayFault(name string, g *gateway, inject func() error) fault {
	return fault{name, g.name, func() error {
		d.excuse(g, time.Now().Add(time.Minute))
		err := inject()
		d.excuse(g, time.Now().Add(recoveryTime))
		return err
	}}
}

// pauseGateway stops a gateway process by SIGSTOP and continues it after a time.
func (d *deployment) pauseGateway(g *gateway, duration time.Duration) error {
	g.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	d.checker.SuspendOwnershipCheck(time.Now().Add(lateDeliveryWindow))
	g.signal(syscall.SIGCONT)
	return nil
}

func (d *deployment) stall(p *Proxy, duration time.Duration) error {
	p.Stall()
	time.Sleep(duration)
	d.checker.SuspendOwnershipCheck(time.Now().Add(lateDeliveryWindow))
	p.ClearFaults()
	return nil
}

func (d *deployment) disconnect(p *Proxy, duration time.Duration) error {
	p.Disconnect()
	time.Sleep(duration)
	p.ClearFaults()
	return nil
}

// addedLatency is the latency that a delayed connection adds to each write.
const addedLatency = 200 * time.Millisecond

func (d *deployment) delay(p *Proxy, duration time.Duration) error {
	p.SetDelay(addedLatency)
	time.Sleep(duration)
	p.ClearFaults()
	return nil
}

func (d *deployment) disconnectStore(duration time.Duration) error {
	for _, g := range d.gateways {
		g.storeProxy.Disconnect()
	}
	time.Sleep(duration)
	for _, g := range d.gateways {
		g.storeProxy.ClearFaults()
	}
	return nil
}
