package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a fleet that together sends more retries in some window than its budget, without any word between
// the gateways: each has its own load, and every request fails.
func TestWindowsStayWithinSharedBudget(t *testing.T) {
	limits := WindowLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}
	const gateways, step = 10, 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	windows := make([]*WindowBudget, gateways)
	for i := range windows {
		windows[i] = NewWindowBudget(limits)
	}
	var requests, retries []int
	for now := time.Duration(0); now < 60*time.Second; now += step {
		sent, again := 0, 0
		for i, w := range windows {
			// A burst at 30 s, and gateways that get very different shares of the requests.
			rate := 0.1 * float64(i)
			if now > 30*time.Second && now < 33*time.Second {
				rate *= 5
			}
			for range int(rate + random.Float64()) {
				w.Request(now)
				sent++
				if w.Take(now, gateways) {
					again++
				}
			}
		}
		requests, retries = append(requests, sent), append(retries, again)
	}
	span := int(limits.Window / step)
	for end := span; end <= len(requests); end++ {
		allowed := limits.Ratio*float64(sum(requests[end-span:end])) + limits.Slack
		if got := sum(retries[end-span : end]); float64(got) > allowed {
			t.Fatalf("%d retries in the window that ends at %v, %v allowed", got, time.Duration(end)*step, allowed)
		}
	}
	if sum(retries) == 0 {
		t.Fatal("no retry was allowed")
	}
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
