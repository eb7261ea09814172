package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// Guards against a soak that does not notice a broken promise: each is broken in turn.
func TestLedgerNoticesEachBrokenPromise(t *testing.T) {
	once := func(l *Checker) { l.RecordRequest("r", true) }
	run := func(l *Checker) { l.ExecutionStarted(standin.Execution{Server: "a", Request: "r"}) }
	hold := func(server string, left time.Duration) func(*Checker) {
		return func(l *Checker) {
			l.HeldRangesChanged(server, []standin.HeldRange{{Keys: ownership.Keys{First: 5, Last: 9}, Until: time.Now().Add(left)}})
		}
	}
	keyed := func(l *Checker) {
		l.RecordRequest("k", false)
		l.ExecutionStarted(standin.Execution{Server: "a", Request: "k", Key: 7, HasKey: true})
	}
	answer := func(id, seal, body string) func(*Checker) {
		return func(l *Checker) { l.CheckResponse("r", id, seal, body) }
	}
	good := answer("r", "s", standin.Body("r"))
	cases := []struct {
		name  string
		steps []func(*Checker)
		want  string
	}{
		{"nothing broken", []func(*Checker){once, run, good}, ""},
		{"not asked", []func(*Checker){run}, "nobody sent"},
		{"twice", []func(*Checker){once, run, run}, "second time"},
		{"refused after it ran", []func(*Checker){once, run, func(l *Checker) { l.RecordRefusal("r") }}, "has run"},
		{"ran after it was refused", []func(*Checker){once, func(l *Checker) { l.RecordRefusal("r") }, run}, "was refused"},
		{"answer of another", []func(*Checker){once, run, answer("q", "s", standin.Body("r"))}, "answer of q"},
		{"no signature", []func(*Checker){once, run, answer("r", "", standin.Body("r"))}, "without a signature"},
		{"cut body", []func(*Checker){once, run, answer("r", "s", "answ")}, "body"},
		{"success without a run", []func(*Checker){once, good}, "has not run"},
		{"one owner", []func(*Checker){hold("a", time.Hour), keyed}, ""},
		{"two owners", []func(*Checker){hold("a", time.Hour), hold("b", time.Hour), keyed}, "same time"},
		{"owner before has run out", []func(*Checker){hold("a", time.Hour), hold("b", -time.Second), keyed}, ""},
		{"late order of a stopped gateway", []func(*Checker){
			hold("a", time.Hour), hold("b", time.Hour), func(l *Checker) { l.SuspendOwnershipCheck(time.Now().Add(time.Hour)) }, keyed,
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ledger := NewChecker()
			for _, step := range c.steps {
				step(ledger)
			}
			got := strings.Join(ledger.Violations(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Fatalf("violations %q, want %q", got, c.want)
			}
		})
	}
}
