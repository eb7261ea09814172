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
	once := func(l *Ledger) { l.Asked("r", true) }
	run := func(l *Ledger) { l.ExecutionStarted(standin.Execution{Server: "a", Request: "r"}) }
	hold := func(server string, left time.Duration) func(*Ledger) {
		return func(l *Ledger) {
			l.HeldRangesChanged(server, []standin.HeldRange{{Keys: ownership.Keys{First: 5, Last: 9}, Until: time.Now().Add(left)}})
		}
	}
	keyed := func(l *Ledger) {
		l.Asked("k", false)
		l.ExecutionStarted(standin.Execution{Server: "a", Request: "k", Key: 7, HasKey: true})
	}
	answer := func(id, seal, body string) func(*Ledger) {
		return func(l *Ledger) { l.Answered("r", id, seal, body) }
	}
	good := answer("r", "s", standin.Body("r"))
	cases := []struct {
		name  string
		steps []func(*Ledger)
		want  string
	}{
		{"nothing broken", []func(*Ledger){once, run, good}, ""},
		{"not asked", []func(*Ledger){run}, "nobody sent"},
		{"twice", []func(*Ledger){once, run, run}, "second time"},
		{"refused after it ran", []func(*Ledger){once, run, func(l *Ledger) { l.Refused("r") }}, "has run"},
		{"ran after it was refused", []func(*Ledger){once, func(l *Ledger) { l.Refused("r") }, run}, "was refused"},
		{"answer of another", []func(*Ledger){once, run, answer("q", "s", standin.Body("r"))}, "answer of q"},
		{"no signature", []func(*Ledger){once, run, answer("r", "", standin.Body("r"))}, "without a signature"},
		{"cut body", []func(*Ledger){once, run, answer("r", "s", "answ")}, "body"},
		{"success without a run", []func(*Ledger){once, good}, "has not run"},
		{"one owner", []func(*Ledger){hold("a", time.Hour), keyed}, ""},
		{"two owners", []func(*Ledger){hold("a", time.Hour), hold("b", time.Hour), keyed}, "same time"},
		{"owner before has run out", []func(*Ledger){hold("a", time.Hour), hold("b", -time.Second), keyed}, ""},
		{"late order of a stopped gateway", []func(*Ledger){
			hold("a", time.Hour), hold("b", time.Hour), func(l *Ledger) { l.Excuse(time.Now().Add(time.Hour)) }, keyed,
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ledger := NewLedger()
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
