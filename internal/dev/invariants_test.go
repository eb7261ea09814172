package dev

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

var epoch = time.Unix(1000, 0)

func atMillis(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func execution(server, key, identity string, from, to int, seq uint64) Execution {
	return Execution{Server: server, Service: "s", Key: key, Identity: identity, Start: atMillis(from), End: atMillis(to),
		Token: fence.Token{Seq: seq}}
}

func violations(invariants []Invariant) map[string]int {
	found := make(map[string]int)
	for _, invariant := range invariants {
		if invariant.Violations > 0 {
			found[invariant.Name] = invariant.Violations
		}
	}
	return found
}

// Guards against checkers that do not report a violated invariant: each case but the first violates one.
func TestCheckersFindSeededViolations(t *testing.T) {
	keyed := map[string]bool{"s": true}
	for _, tc := range []struct {
		name       string
		records    []Record
		executions []Execution
		want       string
	}{
		{"clean", []Record{{Identity: "a", Outcome: OutcomeAnswered}}, []Execution{execution("x", "k", "a", 0, 5, 1), execution("y", "k", "b", 5, 9, 2)}, ""},
		{"ran twice", []Record{{Identity: "a"}}, []Execution{execution("x", "k", "a", 0, 5, 1), execution("x", "k", "a", 6, 9, 1)},
			"a non-idempotent request runs at most once"},
		{"not run but ran", []Record{{Identity: "a", Outcome: OutcomeNotExecuted}}, []Execution{execution("x", "k", "a", 0, 5, 1)},
			"a request refused as not run did not run"},
		{"answered but did not run", []Record{{Identity: "a", Outcome: OutcomeAnswered}}, []Execution{execution("x", "k", "b", 0, 5, 1)},
			"an answered request ran"},
		{"foreign answer", []Record{{Identity: "a", Mismatched: true}}, []Execution{execution("x", "k", "a", 0, 5, 1)},
			"every caller receives the answer to its own request"},
		{"two owners", nil, []Execution{execution("x", "k", "a", 0, 5, 1), execution("y", "k", "b", 4, 9, 2)},
			"no key is executed by two backend servers at a time"},
		{"token decreases", nil, []Execution{execution("x", "k", "a", 0, 5, 2), execution("y", "k", "b", 6, 9, 1)},
			"a later owner of a key has a greater fencing token"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			found := violations(append(checkExecutions(tc.records, tc.executions), checkOwnership(tc.executions, keyed)...))
			if tc.want == "" && len(found) > 0 || tc.want != "" && found[tc.want] != 1 {
				t.Errorf("found %v, want %q", found, tc.want)
			}
		})
	}
}

// Guards against a check that does not report executions that a draining server starts after the bound.
func TestCheckDrainingFindsLateExecutions(t *testing.T) {
	executions := []Execution{execution("x", "k", "a", 2900, 2950, 1), execution("x", "k", "b", 3100, 3150, 1), execution("y", "k", "c", 9000, 9001, 1)}
	result := checkDraining(executions, []Drain{{Server: "x", At: epoch}}, 3*time.Second)
	if result.Violations != 1 {
		t.Errorf("%d violations, want 1", result.Violations)
	}
}

// Guards against unavailable time that is not counted because requests wait for their responses, or is counted twice.
func TestMeasureUnavailable(t *testing.T) {
	answered := func(start, took int) Record {
		return Record{Service: "s", Key: "k", Start: atMillis(start), Latency: time.Duration(took) * time.Millisecond}
	}
	refused := Record{Service: "s", Key: "k", Start: atMillis(150), Outcome: OutcomeNotExecuted}
	u := measureUnavailable([]Record{answered(0, 5), answered(100, 5), refused, answered(200, 600), answered(300, 505), answered(900, 5)},
		map[string]bool{"s": true}, epoch, atMillis(1000))
	if want := 695 * time.Millisecond; u.Worst != want || u.Total != want || u.Keys != 1 {
		t.Errorf("unavailable %v, sum %v in %d keys, want %v in 1", u.Worst, u.Total, u.Keys, want)
	}
}

// Guards against a check that does not report a gateway that reverts to an earlier revision or does not receive the
// accepted one in time.
func TestRevisionCheckerFindsSeededViolations(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(c *revisionChecker)
		want int
	}{
		{"clean", func(c *revisionChecker) {
			c.observe("h", 1, atMillis(0))
			c.accept(2, atMillis(1))
			c.observe("h", 2, atMillis(7000))
		}, 0},
		{"reverts", func(c *revisionChecker) { c.observe("h", 2, atMillis(0)); c.observe("h", 1, atMillis(1)) }, 1},
		{"late", func(c *revisionChecker) { c.accept(2, atMillis(0)); c.observe("h", 1, atMillis(7001)) }, 1},
	} {
		c := newRevisionChecker()
		tc.run(c)
		if got := c.result().Violations; got != tc.want {
			t.Errorf("%s: %d violations, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against a check that does not report a lost or outdated assignment.
func TestCheckAssignmentsPreservedFindsSeededViolations(t *testing.T) {
	state := func(owner string, seq uint64) *ownership {
		return &ownership{owners: map[string][]string{"s": {owner}}, tokens: map[string][]fence.Token{"s": {{Seq: seq}}}}
	}
	for _, tc := range []struct {
		after *ownership
		want  int
	}{{state("x", 5), 0}, {state("y", 6), 0}, {state("", 6), 1}, {state("x", 4), 1}} {
		if got := checkAssignmentsPreserved(disruptions{ownershipBefore: state("x", 5), ownershipAfter: tc.after}).Violations; got != tc.want {
			t.Errorf("%d violations after %v, want %d", got, tc.after, tc.want)
		}
	}
}
