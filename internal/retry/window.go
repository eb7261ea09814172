package retry

import "time"

// WindowLimits bound the retries that all gateways together may send to a service in any sliding window.
type WindowLimits struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed per window in addition to Ratio.
	Slack float64
}

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 50
	// ratioSafetyFactor is the fraction of the ratio that a gateway uses. The margin is needed because the windows
	// of the gateways are not aligned: a request may be counted in a different window on another gateway.
	ratioSafetyFactor = 0.8
)

// WindowBudget is one gateway's part of a retry budget that all gateways share without exchanging messages. Each gateway
// applies the ratio to its own requests and uses an equal part of the slack, so the sum over all gateways stays
// within the limits.
type WindowBudget struct {
	limits   WindowLimits
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// bucket is the number of the newest bucket.
	bucket int64
}

// NewWindowBudget returns a window that has counted no requests.
func NewWindowBudget(limits WindowLimits) *WindowBudget { return &WindowBudget{limits: limits} }

// SetLimits replaces the limits. All counts are reset if the length of the window changes.
func (w *WindowBudget) SetLimits(limits WindowLimits) {
	if limits.Window != w.limits.Window {
		*w = WindowBudget{}
	}
	w.limits = limits
}

// Request counts a first attempt.
func (w *WindowBudget) Request(now time.Duration) {
	w.advance(now)
	w.requests[w.bucket%windowBuckets]++
}

// Take reports whether one more retry is within this gateway's part of the budget, and counts it if so. gateways
// is the number of gateways that share the budget.
func (w *WindowBudget) Take(now time.Duration, gateways int) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := ratioSafetyFactor*w.limits.Ratio*float64(requests) + w.limits.Slack/float64(max(1, gateways))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// advance clears the buckets that have left the window.
func (w *WindowBudget) advance(now time.Duration) {
	bucket := int64(now / (w.limits.Window / windowBuckets))
	if bucket-w.bucket >= windowBuckets {
		w.requests = [windowBuckets]int{}
		w.retries = [windowBuckets]int{}
		w.bucket = bucket
		return
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%windowBuckets] = 0
		w.retries[w.bucket%windowBuckets] = 0
	}
}
