package dev

import (
	"cmp"
	"slices"
	"time"
)

// Promise is one invariant with the violations that were found.
type Promise struct {
	Name string
	// Checked is the number of cases that were looked at.
	Checked    int
	Violations int
	// Example describes one violation.
	Example string
}

// Violate counts one violation and keeps the first as the example.
func (p *Promise) violate(example string) {
	if p.Violations == 0 {
		p.Example = example
	}
	p.Violations++
}

// checkExecutions compares what callers learned with what backend servers executed.
func checkExecutions(records []Record, executions []Execution) []Promise {
	runs := make(map[string]int, len(executions))
	for _, e := range executions {
		runs[e.Identity]++
	}
	once := Promise{Name: "a non-idempotent request runs at most once"}
	notRun := Promise{Name: "a request refused as not run did not run"}
	answered := Promise{Name: "an answered request ran"}
	whole := Promise{Name: "every caller receives the answer to its own request"}
	for _, r := range records {
		n := runs[r.Identity]
		if !r.Idempotent {
			once.Checked++
			if n > 1 {
				once.violate(r.Service + " request " + r.Identity + " ran more than once")
			}
		}
		switch r.Result {
		case ResultNotRun:
			notRun.Checked++
			if n > 0 {
				notRun.violate(r.Service + " request " + r.Identity + " was refused as not run (" + r.Kind + ") and ran")
			}
		case ResultAnswered:
			answered.Checked++
			if n == 0 {
				answered.violate(r.Service + " request " + r.Identity + " was answered and did not run")
			}
			whole.Checked++
			if r.Foreign {
				whole.violate(r.Service + " request " + r.Identity + " received another answer")
			}
		}
	}
	return []Promise{once, notRun, answered, whole}
}

// checkOwnership verifies that no two backend servers executed the same key at overlapping times, and that
// fencing tokens of a key never go back when the server changes.
func checkOwnership(executions []Execution, keyed map[string]bool) []Promise {
	owner := Promise{Name: "no key is executed by two backend servers at a time"}
	tokens := Promise{Name: "a later owner of a key has a greater fencing token"}
	byKey := make(map[string][]Execution)
	for _, e := range executions {
		if keyed[e.Service] {
			byKey[e.Service+"/"+e.Key] = append(byKey[e.Service+"/"+e.Key], e)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b Execution) int { return a.Start.Compare(b.Start) })
		checkKey(key, list, &owner, &tokens)
	}
	return []Promise{owner, tokens}
}

func checkKey(key string, list []Execution, owner, tokens *Promise) {
	latest := list[0]
	for _, e := range list[1:] {
		owner.Checked++
		tokens.Checked++
		if e.Server != latest.Server && e.Start.Before(latest.End) {
			owner.violate(key + " ran on " + latest.Server + " and " + e.Server + " at the same time")
		}
		if e.Server != latest.Server && !e.Token.IsZero() && e.Token.Less(latest.Token) {
			tokens.violate(key + " went from token " + latest.Token.String() + " to " + e.Token.String())
		}
		if e.End.After(latest.End) || e.Server != latest.Server {
			latest = e
		}
	}
}

// LeaveCheck is one server that was told to leave.
type LeaveCheck struct {
	Server string
	At     time.Time
}

// checkLeaving verifies that a leaving server starts no execution after the bound.
func checkLeaving(executions []Execution, leaves []LeaveCheck, bound time.Duration) Promise {
	p := Promise{Name: "a leaving backend server receives no new work after 3 s"}
	for _, leave := range leaves {
		limit := leave.At.Add(bound)
		for _, e := range executions {
			if e.Server != leave.Server {
				continue
			}
			p.Checked++
			if e.Start.After(limit) {
				p.violate(e.Server + " started work " + e.Start.Sub(leave.At).String() + " after it was told to leave")
			}
		}
	}
	return p
}

// checkCalm verifies that no request fails while there are only planned stops. Refusals that the load itself causes do
// not count.
func checkCalm(records []Record, f failures) Promise {
	p := Promise{Name: "a planned stop cuts off no request"}
	if f.StopErr != nil {
		p.violate(f.StopErr.Error())
	}
	for _, r := range records {
		if !f.Calm.contains(r.Start) || !f.Calm.contains(r.Start.Add(r.Took)) {
			continue
		}
		p.Checked++
		if r.Result != ResultAnswered && !isOverload(r) {
			p.violate(r.Service + " request " + r.Identity + " at " + r.Gateway + " ended as " + r.Result.String() + " (" + r.Kind + ")")
		}
	}
	return p
}

// isOverload reports whether the load itself explains the refusal.
func isOverload(r Record) bool {
	return r.Kind == "queue-full" || r.Kind == "deadline-cannot-be-met" || r.Kind == "backend-shed-load"
}

// sortPromises puts violated promises first.
func sortPromises(promises []Promise) {
	slices.SortStableFunc(promises, func(a, b Promise) int { return cmp.Compare(b.Violations, a.Violations) })
}
