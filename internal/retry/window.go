package retry

import "time"

// WindowLimits bound the retries that all gateways together may send to a service in any window.
type WindowLimits struct {
	// Window is the length of the window.
	Window time.Duration
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of retries that are allowed besides.
	Slack float64
}

const (
	// windowSteps is the number of steps in which a window slides.
	windowSteps = 50
	// ratioShare is the share of the ratio that is used: requests of others may be counted in other windows.
	ratioShare = 0.8
)

// WindowBudget is one gateway's part of a retry budget that all gateways share without telling each other. Each keeps
// to the ratio of its own requests and to its part of the slack, so their sum keeps to the whole.
type WindowBudget struct {
	limits   WindowLimits
	requests [windowSteps]int
	retries  [windowSteps]int
	// step is the newest step that was counted.
	step int64
}

// NewWindowBudget returns a budget without requests.
func NewWindowBudget(limits WindowLimits) *WindowBudget { return &WindowBudget{limits: limits} }

// SetLimits changes the limits. A window of another length begins anew.
func (w *WindowBudget) SetLimits(limits WindowLimits) {
	if limits.Window != w.limits.Window {
		*w = WindowBudget{}
	}
	w.limits = limits
}

// Request counts a request that is sent for the first time.
func (w *WindowBudget) Request(now time.Duration) {
	w.advance(now)
	w.requests[w.step%windowSteps]++
}

// Take reports whether one more retry is within the budget of one of a number of gateways, and counts it if so.
func (w *WindowBudget) Take(now time.Duration, gateways int) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := ratioShare*w.limits.Ratio*float64(requests) + w.limits.Slack/float64(max(1, gateways))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.step%windowSteps]++
	return true
}

// advance clears the steps that have left the window.
func (w *WindowBudget) advance(now time.Duration) {
	step := int64(now / (w.limits.Window / windowSteps))
	if step-w.step >= windowSteps {
		w.requests = [windowSteps]int{}
		w.retries = [windowSteps]int{}
		w.step = step
		return
	}
	for w.step < step {
		w.step++
		w.requests[w.step%windowSteps] = 0
		w.retries[w.step%windowSteps] = 0
	}
}
