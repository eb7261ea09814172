package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/ownership"
	"github.com/sapphireplank/sapphireplank/platform/standin"
)

// Guards against a fault injection run that misses a violation: each guarantee is violated in turn.
func TestCheckerDetectsEachViolation(t *testing.T) {
	sendOnce := func(c *Checker) { c.RecordRequest("r", "g", true, 0) }
	execute := func(c *Checker) { c.ExecutionStarted(standin.Execution{Server: "a", Request: "r"}) }
	hold := func(server string, left time.Duration) func(*Checker) {
		return func(c *Checker) {
			c.HeldRangesChanged(server, []standin.HeldRange{{Keys: ownership.Keys{First: 5, Last: 9}, Until: time.Now().Add(left)}})
		}
	}
	executeKeyed := func(c *Checker) {
		c.RecordRequest("k", "g", false, 0)
		c.ExecutionStarted(standin.Execution{Server: "a", Request: "k", Key: 7, HasKey: true})
	}
	respond := func(id, signature, body string) func(*Checker) {
		return func(c *Checker) { c.CheckResponse("r", id, signature, body) }
	}
	validResponse := respond("r", "s", standin.Body("r"))
	cases := []struct {
		name  string
		steps []func(*Checker)
		want  string
	}{
		{"no violation", []func(*Checker){sendOnce, execute, validResponse}, ""},
		{"execution of a request that was not sent", []func(*Checker){execute}, "no client sent"},
		{"second execution", []func(*Checker){sendOnce, execute, execute}, "second time"},
		{"incomplete body", []func(*Checker){func(c *Checker) { c.RecordRequest("r", "g", true, 9) }, execute}, "0 of 9 bytes"},
		{"refusal after the execution", []func(*Checker){sendOnce, execute, func(c *Checker) { c.RecordRefusal("r") }}, "had been executed"},
		{"execution after the refusal", []func(*Checker){sendOnce, func(c *Checker) { c.RecordRefusal("r") }, execute}, "which was refused"},
		{"response of another request", []func(*Checker){sendOnce, execute, respond("q", "s", standin.Body("r"))}, "response of request q"},
		{"no signature", []func(*Checker){sendOnce, execute, respond("r", "", standin.Body("r"))}, "without a signature"},
		{"truncated body", []func(*Checker){sendOnce, execute, respond("r", "s", "answ")}, "response body"},
		{"successful response without an execution", []func(*Checker){sendOnce, validResponse}, "was not executed"},
		{"one owner", []func(*Checker){hold("a", time.Hour), executeKeyed}, ""},
		{"two owners", []func(*Checker){hold("a", time.Hour), hold("b", time.Hour), executeKeyed}, "same time"},
		{"expired grant of the previous owner", []func(*Checker){hold("a", time.Hour), hold("b", -time.Second), executeKeyed}, ""},
		{"late grant of a paused gateway", []func(*Checker){
			hold("a", time.Hour), hold("b", time.Hour), func(c *Checker) { c.SuspendOwnershipCheck(time.Now().Add(time.Hour)) }, executeKeyed,
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewChecker()
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
