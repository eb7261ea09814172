package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// lateDeliveryWindow is the time after a gateway pause or a connection stall in which messages that the pause or stall
// held back may still arrive.
const lateDeliveryWindow = 300 * time.Millisecond

// Checker compares the responses that clients received with the executions on the backend servers. It is safe for
// concurrent use.
type Checker struct {
	// mu protects the fields below.
	mu sync.Mutex
	// executions counts the executions of each request.
	executions map[string]int
	// executionEnds holds the end of the last execution of each request that has ended.
	executionEnds map[string]time.Time
	// abandoned holds when the gateway last broke off each request that was being executed.
	abandoned map[string]time.Time
	// stoppedAt is when each gateway got the signal of its last planned stop.
	stoppedAt map[string]time.Time
	// atMostOnce maps each request that was sent to whether it must be executed at most once.
	atMostOnce map[string]bool
	// bodyBytes is the length of the body of each request that was sent.
	bodyBytes map[string]int64
	// refused holds the requests that a client was told have not been and will not be executed.
	refused map[string]bool
	// gateways maps each request to the gateway to which it was sent.
	gateways   map[string]string
	heldRanges map[string][]standin.HeldRange
	// ownershipUncheckedUntil is when the check for concurrent owners resumes.
	ownershipUncheckedUntil time.Time
	violations              []string
}

var _ standin.Observer = (*Checker)(nil)

// NewChecker returns an instance without recorded requests.
func NewChecker() *Checker {
	return &Checker{
		executions: make(map[string]int), bodyBytes: make(map[string]int64), atMostOnce: make(map[string]bool), refused: make(map[string]bool),
		gateways: make(map[string]string), executionEnds: make(map[string]time.Time), abandoned: make(map[string]time.Time), stoppedAt: make(map[string]time.Time),
		heldRanges: make(map[string][]standin.HeldRange),
	}
}

// addViolation records a violated guarantee. The caller must hold mu.
func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violated guarantees.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// RecordRequest records a request before it is sent to a gateway.
func (c *Checker) RecordRequest(request, gateway string, atMostOnce bool, bodyBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateways[request] = gateway
	c.bodyBytes[request] = bodyBytes
	c.atMostOnce[request] = atMostOnce
}

// RecordRefusal records that a client was told that a request has not been and will not be executed.
func (c *Checker) RecordRefusal(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[request] = true
	if c.atMostOnce[request] && c.executions[request] > 0 {
		c.addViolation("request %s was refused as not executed, but had been executed", request)
	}
}

// CheckResponse checks a successful response.
func (c *Checker) CheckResponse(request, id, signature, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case id != request:
		c.addViolation("request %s got the response of request %s", request, id)
	case signature == "":
		c.addViolation("request %s got a successful response without a signature", request)
	case body != standin.Body(request):
		c.addViolation("request %s got the response body %q", request, body)
	case c.executions[request] == 0:
		c.addViolation("request %s got a successful response but was not executed", request)
	}
}

// SuspendOwnershipCheck suspends the check for concurrent owners until a point in time. Grants and releases may arrive
// late after their sender was paused or their connection stalled.
func (c *Checker) SuspendOwnershipCheck(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.ownershipUncheckedUntil) {
		c.ownershipUncheckedUntil = until
	}
}

// ExecutionStarted implements standin.Observer.
func (c *Checker) ExecutionStarted(execution standin.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[execution.Request]++
	atMostOnce, sent := c.atMostOnce[execution.Request]
	switch {
	case !sent:
		c.addViolation("server %s executes request %q, which no client sent", execution.Server, execution.Request)
	case atMostOnce && c.executions[execution.Request] > 1:
		c.addViolation("server %s executes request %s for the second time", execution.Server, execution.Request)
	case atMostOnce && c.refused[execution.Request]:
		c.addViolation("server %s executes request %s, which was refused as not executed", execution.Server, execution.Request)
	}
	if sent && execution.BodyBytes != c.bodyBytes[execution.Request] {
		c.addViolation("server %s executes request %s with %d of %d bytes of its body",
			execution.Server, execution.Request, execution.BodyBytes, c.bodyBytes[execution.Request])
	}
	if execution.HasKey {
		c.checkOwner(execution)
	}
}

// checkOwner checks that no other server holds the key of an execution. The caller must hold mu.
func (c *Checker) checkOwner(execution standin.Execution) {
	now := time.Now()
	if now.Before(c.ownershipUncheckedUntil) {
		return
	}
	for server, ranges := range c.heldRanges {
		for _, held := range ranges {
			if server != execution.Server && held.Contains(execution.Key) && now.Before(held.Until) {
				c.addViolation("servers %s and %s hold key %d at the same time", execution.Server, server, execution.Key)
			}
		}
	}
}

// GatewayOf implements standin.Observer.
func (c *Checker) GatewayOf(request string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gateways[request]
}

// RecordExcess records that a server got more requests than the limit that it had named allows.
func (c *Checker) RecordExcess(server string, excess standin.RateExcess) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("server %s got %d requests in a window, %.1f allowed", server, excess.Requests, excess.Allowed)
}

// RecordUnwanted records a request that arrived against what a server had said of itself.
func (c *Checker) RecordUnwanted(server, violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("server %s: %s", server, violation)
}

// HeldRangesChanged implements standin.Observer.
func (c *Checker) HeldRangesChanged(server string, ranges []standin.HeldRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldRanges[server] = append([]standin.HeldRange(nil), ranges...)
}
