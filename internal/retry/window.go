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

// WindowBudget is one gateway's part of a retry budget that all gateways share without exchanging messages. Each
// gateway applies the ratio to its own requests and uses an equal part of the slack, so the sum over all gateways
// stays within the limits. In its first window a process has no slack: the one that ran on its host before may have used it.
// Times are those since the start of the process.
type WindowBudget struct {
	limits   WindowLimits
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// bucket is the number of the newest bucket.
	bucket int64
}

// NewWindowBudget returns a budget that has counted no requests.
func NewWindowBudget(limits WindowLimits) *WindowBudget { return &WindowBudget{limits: limits} }

// SetLimits replaces the limits. All counts are reset if the length of the window changes.
func (b *WindowBudget) SetLimits(limits WindowLimits) {
	if limits.Window != b.limits.Window {
		*b = WindowBudget{}
	}
	b.limits = limits
}

// CountRequest counts a first attempt.
func (b *WindowBudget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%windowBuckets]++
}

// Take reports whether one more retry is within this gateway's part of the budget, and counts it if so. gateways
// is the number of gateways that share the budget.
func (b *WindowBudget) Take(now time.Duration, gateways int) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := ratioSafetyFactor * b.limits.Ratio * float64(requests)
	if now >= b.limits.Window {
		allowed += b.limits.Slack / float64(max(1, gateways))
	}
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.bucket%windowBuckets]++
	return true
}

// advance clears the buckets that have left the window.
func (b *WindowBudget) advance(now time.Duration) {
	bucket := int64(now / (b.limits.Window / windowBuckets))
	if bucket-b.bucket >= windowBuckets {
		b.requests = [windowBuckets]int{}
		b.retries = [windowBuckets]int{}
		b.bucket = bucket
		return
	}
	for b.bucket < bucket {
		b.bucket++
		b.requests[b.bucket%windowBuckets] = 0
		b.retries[b.bucket%windowBuckets] = 0
	}
}
