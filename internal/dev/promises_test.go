package dev

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/fence"
)

var epoch = time.Unix(1000, 0)

func at(millis int) time.Time { return epoch.Add(time.Duration(millis) * time.Millisecond) }

func execution(server, key, identity string, from, to int, seq uint64) Execution {
	return Execution{Server: server, Service: "s", Key: key, Identity: identity, Start: at(from), End: at(to),
		Token: fence.Token{Seq: seq}}
}

func violations(promises []Promise) map[string]int {
	found := make(map[string]int)
	for _, p := range promises {
		if p.Violations > 0 {
			found[p.Name] = p.Violations
		}
	}
	return found
}

// Guards against a checker that passes runs in which an invariant is broken.
func TestCheckersFindSeededViolations(t *testing.T) {
	keyed := map[string]bool{"s": true}
	for _, tc := range []struct {
		name       string
		records    []Record
		executions []Execution
		want       string
	}{
		{"clean", []Record{{Identity: "a", Result: ResultAnswered}}, []Execution{execution("x", "k", "a", 0, 5, 1), execution("y", "k", "b", 5, 9, 2)}, ""},
		{"ran twice", []Record{{Identity: "a"}}, []Execution{execution("x", "k", "a", 0, 5, 1), execution("x", "k", "a", 6, 9, 1)},
			"a non-idempotent request runs at most once"},
		{"not run but ran", []Record{{Identity: "a", Result: ResultNotRun}}, []Execution{execution("x", "k", "a", 0, 5, 1)},
			"a request refused as not run did not run"},
		{"answered but did not run", []Record{{Identity: "a", Result: ResultAnswered}}, []Execution{execution("x", "k", "b", 0, 5, 1)},
			"an answered request ran"},
		{"foreign answer", []Record{{Identity: "a", Foreign: true}}, []Execution{execution("x", "k", "a", 0, 5, 1)},
			"every caller receives the answer to its own request"},
		{"two owners", nil, []Execution{execution("x", "k", "a", 0, 5, 1), execution("y", "k", "b", 4, 9, 2)},
			"no key is executed by two backend servers at a time"},
		{"token goes back", nil, []Execution{execution("x", "k", "a", 0, 5, 2), execution("y", "k", "b", 6, 9, 1)},
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

// Guards against a leaving server that still gets work.
func TestCheckLeavingFindsLateWork(t *testing.T) {
	executions := []Execution{execution("x", "k", "a", 2900, 2950, 1), execution("x", "k", "b", 3100, 3150, 1), execution("y", "k", "c", 9000, 9001, 1)}
	p := checkLeaving(executions, []LeaveCheck{{Server: "x", At: epoch}}, 3*time.Second)
	if p.Violations != 1 {
		t.Errorf("%d violations, want 1", p.Violations)
	}
}

// Guards against unavailable time that is hidden by requests that wait, or that is counted twice.
func TestUnavailableTime(t *testing.T) {
	answered := func(start, took int) Record {
		return Record{Service: "s", Key: "k", Start: at(start), Took: time.Duration(took) * time.Millisecond}
	}
	refused := Record{Service: "s", Key: "k", Start: at(150), Result: ResultNotRun}
	u := unavailableTime([]Record{answered(0, 5), answered(100, 5), refused, answered(200, 600), answered(300, 505), answered(900, 5)},
		map[string]bool{"s": true}, epoch, at(1000))
	if want := 695 * time.Millisecond; u.Worst != want || u.Total != want || u.Keys != 1 {
		t.Errorf("unavailable %v, sum %v in %d keys, want %v in 1", u.Worst, u.Total, u.Keys, want)
	}
}

// Guards against a run in which a gateway goes back to an earlier revision, or never gets the accepted one, unnoticed.
func TestRevisionWatchFindsSeededViolations(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(w *revisionWatch)
		want int
	}{
		{"clean", func(w *revisionWatch) { w.observe("h", 1, at(0)); w.accept(2, at(1)); w.observe("h", 2, at(7000)) }, 0},
		{"reverts", func(w *revisionWatch) { w.observe("h", 2, at(0)); w.observe("h", 1, at(1)) }, 1},
		{"late", func(w *revisionWatch) { w.accept(2, at(0)); w.observe("h", 1, at(7001)) }, 1},
	} {
		w := newRevisionWatch()
		tc.run(w)
		if got := w.result().Violations; got != tc.want {
			t.Errorf("%s: %d violations, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against a lost or outdated assignment that a run does not notice.
func TestCheckSurvivalFindsSeededViolations(t *testing.T) {
	state := func(owner string, seq uint64) *ownership {
		return &ownership{owners: map[string][]string{"s": {owner}}, tokens: map[string][]fence.Token{"s": {{Seq: seq}}}}
	}
	for _, tc := range []struct {
		after *ownership
		want  int
	}{{state("x", 5), 0}, {state("y", 6), 0}, {state("", 6), 1}, {state("x", 4), 1}} {
		if got := checkSurvival(failures{before: state("x", 5), after: tc.after}).Violations; got != tc.want {
			t.Errorf("%d violations after %v, want %d", got, tc.after, tc.want)
		}
	}
}
