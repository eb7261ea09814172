package retry

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/outcome"
)

// TestDecide guards against retries of requests that may already have been executed, and against retries that
// cannot succeed.
func TestDecide(t *testing.T) {
	kinds := map[outcome.Kind]Decision{
		outcome.KindBadRequest: Stop, outcome.KindNoSuchService: Stop, outcome.KindMissingHeader: Stop,
		outcome.KindTooLarge: Stop, outcome.KindBodyTimeout: Stop, outcome.KindQueueFull: Stop,
		outcome.KindDeadline: Stop,
		outcome.KindCanceled: Stop, outcome.KindRepeated: Stop,
		outcome.KindIdentityTooOld: Stop, outcome.KindInternal: Stop,
		outcome.KindNoOwner: Reroute, outcome.KindNoHome: Reroute, outcome.KindNotHome: Reroute,
		outcome.KindNoServer: Reroute, outcome.KindHopLimit: Reroute, outcome.KindNoConfig: Reroute,
		outcome.KindShed: Resend, outcome.KindStaleGrant: Resend, outcome.KindDraining: Resend,
		outcome.KindConnect: Resend, outcome.KindConnectionLost: Resend, outcome.KindTimeout: Resend,
		outcome.KindBadResponse: Resend, outcome.KindFailed: Resend,
	}
	for kind, decision := range kinds {
		for _, executed := range []outcome.Outcome{outcome.NotExecuted, outcome.Unknown, outcome.Executed} {
			for _, idempotent := range []bool{true, false} {
				f := Failure{
					Problem: outcome.New(kind, 503, executed, ""), Idempotent: idempotent, Rewindable: true, Attempts: 1,
					Remaining: 2 * time.Second, ExpectedDuration: time.Second,
				}
				want := decision
				switch {
				case executed == outcome.Executed, executed == outcome.Unknown && !idempotent:
					want = Stop
				case executed == outcome.Unknown && decision == Reroute:
					want = Resend
				}
				if got := Decide(f); got != want {
					t.Errorf("%s %s idempotent=%v: got %s, want %s", kind, executed, idempotent, got, want)
				}
				for name, change := range map[string]func(*Failure){
					"body not rewindable": func(f *Failure) { f.Rewindable = false },
					"attempts":            func(f *Failure) { f.Attempts = MaxAttempts },
					"no time left":        func(f *Failure) { f.Remaining = f.ExpectedDuration },
				} {
					limited := f
					change(&limited)
					if got := Decide(limited); got != Stop {
						t.Errorf("%s %s %s: got %s, want stop", kind, executed, name, got)
					}
				}
			}
		}
	}
}

// TestBudget guards against retries that multiply the load when every request fails.
func TestBudget(t *testing.T) {
	const perSecond, seconds = 1000, 60
	var budget Budget
	retries := 0
	for i := range perSecond * seconds {
		budget.CountRequest()
		if budget.Take(time.Duration(i) * time.Second / perSecond) {
			retries++
		}
	}
	limit := perSecond*seconds*BudgetRatio + BudgetPerSecond*seconds + BudgetBurst
	if float64(retries) > limit || float64(retries) < 0.95*limit-BudgetBurst {
		t.Errorf("%d retries, limit %v", retries, limit)
	}
	if budget = (Budget{}); !budget.Take(time.Hour) || budget.tokens != BudgetBurst-1 {
		t.Errorf("%v retries are left after an idle hour and one retry", budget.tokens)
	}
}
