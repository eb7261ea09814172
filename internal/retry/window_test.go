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

// Guards against a slack that is used twice in a window, by a gateway and by the process that takes its place. All requests
// fail, and half of the gateways are restarted at about the same time.
func TestRestartedGatewaysStayWithinSharedBudget(t *testing.T) {
	limits := WindowLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 60}
	const (
		gateways  = 10
		interval  = 20 * time.Millisecond
		restartAt = 45 * time.Second
		length    = 60 * time.Second
	)
	windows := make([]*WindowBudget, gateways)
	started := make([]time.Duration, gateways)
	for i := range windows {
		windows[i] = NewWindowBudget(limits)
	}
	var requests, retries []int
	for now := time.Duration(0); now < length; now += interval {
		sent, retried := 0, 0
		for i := range windows {
			if now == restartAt && i%2 == 0 {
				windows[i], started[i] = NewWindowBudget(limits), now
			}
			// One request a second from each gateway, so that the slack is most of the budget.
			if int(now/interval)%50 != i {
				continue
			}
			windows[i].CountRequest(now - started[i])
			sent++
			for windows[i].Take(now-started[i], gateways) {
				retried++
			}
		}
		requests, retries = append(requests, sent), append(retries, retried)
	}
	perWindow := int(limits.Window / interval)
	for end := perWindow; end <= len(requests); end++ {
		sent, retried := 0, 0
		for i := end - perWindow; i < end; i++ {
			sent, retried = sent+requests[i], retried+retries[i]
		}
		if allowed := limits.Ratio*float64(sent) + limits.Slack; float64(retried) > allowed {
			t.Fatalf("%d retries of %d requests in the window that ends at %v, %.0f allowed", retried, sent, time.Duration(end)*interval, allowed)
		}
	}
}
