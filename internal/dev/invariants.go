package dev

import (
	"cmp"
	"slices"
	"time"
)

// Invariant is the result of checking one invariant.
type Invariant struct {
	Name string
	// Checked is the number of checked cases.
	Checked    int
	Violations int
	// Example describes the first violation.
	Example string
}

// addViolation counts a violation and keeps the description of the first one.
func (i *Invariant) addViolation(example string) {
	if i.Violations == 0 {
		i.Example = example
	}
	i.Violations++
}

// checkExecutions compares the outcomes that clients recorded with the executions on the backend servers.
func checkExecutions(records []Record, executions []Execution) []Invariant {
	executionCounts := make(map[string]int, len(executions))
	for _, e := range executions {
		executionCounts[e.Identity]++
	}
	atMostOnce := Invariant{Name: "a non-idempotent request runs at most once"}
	notExecuted := Invariant{Name: "a request refused as not run did not run"}
	answered := Invariant{Name: "an answered request ran"}
	ownAnswer := Invariant{Name: "every caller receives the answer to its own request"}
	for _, r := range records {
		n := executionCounts[r.Identity]
		if !r.Idempotent {
			atMostOnce.Checked++
			if n > 1 {
				atMostOnce.addViolation(r.Service + " request " + r.Identity + " ran more than once")
			}
		}
		switch r.Outcome {
		case OutcomeNotExecuted:
			notExecuted.Checked++
			if n > 0 {
				notExecuted.addViolation(r.Service + " request " + r.Identity + " was refused as not run (" + r.Kind + ") but ran")
			}
		case OutcomeAnswered:
			answered.Checked++
			if n == 0 {
				answered.addViolation(r.Service + " request " + r.Identity + " was answered but did not run")
			}
			ownAnswer.Checked++
			if r.Mismatched {
				ownAnswer.addViolation(r.Service + " request " + r.Identity + " received the answer to another request")
			}
		}
	}
	return []Invariant{atMostOnce, notExecuted, answered, ownAnswer}
}

// checkOwnership verifies that no two backend servers executed requests for the same key at overlapping times, and
// that the fencing token of a key never decreases when its server changes.
func checkOwnership(executions []Execution, keyed map[string]bool) []Invariant {
	exclusive := Invariant{Name: "no key is executed by two backend servers at a time"}
	tokens := Invariant{Name: "a later owner of a key has a greater fencing token"}
	byKey := make(map[string][]Execution)
	for _, e := range executions {
		if keyed[e.Service] {
			byKey[e.Service+"/"+e.Key] = append(byKey[e.Service+"/"+e.Key], e)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b Execution) int { return a.Start.Compare(b.Start) })
		checkKeyExecutions(key, list, &exclusive, &tokens)
	}
	return []Invariant{exclusive, tokens}
}

func checkKeyExecutions(key string, list []Execution, exclusive, tokens *Invariant) {
	latest := list[0]
	for _, e := range list[1:] {
		exclusive.Checked++
		tokens.Checked++
		if e.Server != latest.Server && e.Start.Before(latest.End) {
			exclusive.addViolation(key + " ran on " + latest.Server + " and " + e.Server + " at the same time")
		}
		if e.Server != latest.Server && !e.Token.IsZero() && e.Token.Less(latest.Token) {
			tokens.addViolation(key + " changed from token " + latest.Token.String() + " to " + e.Token.String())
		}
		if e.End.After(latest.End) || e.Server != latest.Server {
			latest = e
		}
	}
}

// Drain is a backend server that began to drain at a given time.
type Drain struct {
	Server string
	At     time.Time
}

// checkDraining verifies that a draining backend server starts no execution later than bound after its drain began.
func checkDraining(executions []Execution, drains []Drain, bound time.Duration) Invariant {
	result := Invariant{Name: "a leaving backend server receives no new work after 3 s"}
	for _, drain := range drains {
		limit := drain.At.Add(bound)
		for _, e := range executions {
			if e.Server != drain.Server {
				continue
			}
			result.Checked++
			if e.Start.After(limit) {
				result.addViolation(e.Server + " started an execution " + e.Start.Sub(drain.At).String() + " after it began to drain")
			}
		}
	}
	return result
}

// checkPlannedStops verifies that no request fails in the interval in which there are only planned stops. Refusals
// because of overload do not count.
func checkPlannedStops(records []Record, f disruptions) Invariant {
	result := Invariant{Name: "a planned stop cuts off no request"}
	if f.StopErr != nil {
		result.addViolation(f.StopErr.Error())
	}
	for _, r := range records {
		if !f.FaultFree.contains(r.Start) || !f.FaultFree.contains(r.Start.Add(r.Latency)) {
			continue
		}
		result.Checked++
		if r.Outcome != OutcomeAnswered && !isOverloadRefusal(r) {
			result.addViolation(r.Service + " request " + r.Identity + " at " + r.Gateway + " ended as " + r.Outcome.String() +
				" (" + r.Kind + ")")
		}
	}
	return result
}

// isOverloadRefusal reports whether the request was refused because of overload.
func isOverloadRefusal(r Record) bool {
	return r.Kind == "queue-full" || r.Kind == "deadline-cannot-be-met" || r.Kind == "backend-shed-load"
}

// sortByViolations sorts by descending number of violations.
func sortByViolations(invariants []Invariant) {
	slices.SortStableFunc(invariants, func(a, b Invariant) int { return cmp.Compare(b.Violations, a.Violations) })
}
