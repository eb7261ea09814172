package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// Guards against a fault injection run that misses a violation: each guarantee is violated in turn.
func TestLedgerDetectsEachViolation(t *testing.T) {
	sendOnce := func(c *Ledger) { c.Asked("r", true) }
	execute := func(c *Ledger) { c.ExecutionStarted(standin.Execution{Server: "a", Request: "r"}) }
	hold := func(server string, left time.Duration) func(*Ledger) {
		return func(c *Ledger) {
			c.HeldRangesChanged(server, []standin.HeldRange{{Keys: ownership.Keys{First: 5, Last: 9}, Until: time.Now().Add(left)}})
		}
	}
	executeKeyed := func(c *Ledger) {
		c.Asked("k", false)
		c.ExecutionStarted(standin.Execution{Server: "a", Request: "k", Key: 7, HasKey: true})
	}
	respond := func(id, signature, body string) func(*Ledger) {
		return func(c *Ledger) { c.Answered("r", id, signature, body) }
	}
	validResponse := respond("r", "s", standin.Body("r"))
	cases := []struct {
		name  string
		steps []func(*Ledger)
		want  string
	}{
		{"no violation", []func(*Ledger){sendOnce, execute, validResponse}, ""},
		{"execution of a request that was not sent", []func(*Ledger){execute}, "no client sent"},
		{"second execution", []func(*Ledger){sendOnce, execute, execute}, "second time"},
		{"refusal after the execution", []func(*Ledger){sendOnce, execute, func(c *Ledger) { c.Refused("r") }}, "had been executed"},
		{"execution after the refusal", []func(*Ledger){sendOnce, func(c *Ledger) { c.Refused("r") }, execute}, "which was refused"},
		{"response of another request", []func(*Ledger){sendOnce, execute, respond("q", "s", standin.Body("r"))}, "response of request q"},
		{"no signature", []func(*Ledger){sendOnce, execute, respond("r", "", standin.Body("r"))}, "without a signature"},
		{"truncated body", []func(*Ledger){sendOnce, execute, respond("r", "s", "answ")}, "response body"},
		{"successful response without an execution", []func(*Ledger){sendOnce, validResponse}, "was not executed"},
		{"one owner", []func(*Ledger){hold("a", time.Hour), executeKeyed}, ""},
		{"two owners", []func(*Ledger){hold("a", time.Hour), hold("b", time.Hour), executeKeyed}, "same time"},
		{"expired grant of the previous owner", []func(*Ledger){hold("a", time.Hour), hold("b", -time.Second), executeKeyed}, ""},
		{"late grant of a paused gateway", []func(*Ledger){
			hold("a", time.Hour), hold("b", time.Hour), func(c *Ledger) { c.Excuse(time.Now().Add(time.Hour)) }, executeKeyed,
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewLedger()
			for _, step := range c.steps {
				step(checker)
			}
			got := strings.Join(checker.Violations(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Fatalf("violations %q, want %q", got, c.want)
			}
		})
	}
}
