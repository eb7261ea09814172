package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against gateways that together exceed the shared retry budget in some window. Every request fails, the
// gateways have different loads, and they exchange no messages.
func TestWindowsStayWithinSharedBudget(t *testing.T) {
	limits := WindowLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}
	const gateways, interval = 10, 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	windows := make([]*WindowBudget, gateways)
	for i := range windows {
		windows[i] = NewWindowBudget(limits)
	}
	var requests, retries []int
	for now := time.Duration(0); now < 60*time.Second; now += interval {
		sent, retried := 0, 0
		for i, w := range windows {
			// Each gateway receives a different share of the requests, with a burst on all of them at 30 s.
			rate := 0.1 * float64(i)
			if now > 30*time.Second && now < 33*time.Second {
				rate *= 5
			}
			for range int(rate + random.Float64()) {
				w.CountRequest(now)
				sent++
				if w.Take(now, gateways) {
					retried++
				}
			}
		}
		requests, retries = append(requests, sent), append(retries, retried)
	}
	intervalsPerWindow := int(limits.Window / interval)
	for end := intervalsPerWindow; end <= len(requests); end++ {
		allowed := limits.Ratio*float64(sum(requests[end-intervalsPerWindow:end])) + limits.Slack
		if got := sum(retries[end-intervalsPerWindow : end]); float64(got) > allowed {
			t.Fatalf("%d retries in the window that ends at %v, %v allowed", got, time.Duration(end)*interval, allowed)
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
