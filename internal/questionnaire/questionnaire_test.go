package questionnaire_test

import (
	"bytes"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/examples"
	"github.com/sapphireplank/sapphireplank/internal/config"
	"github.com/sapphireplank/sapphireplank/internal/questionnaire"
	"github.com/sapphireplank/sapphireplank/internal/questionnaire/questionnairetest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204") // a fixed seed makes the result reproducible
	}
	os.Exit(m.Run())
}

// Guards against invalid values that are accepted, that are reported without location or remedy, or whose fault is
// obscured by secondary faults.
func TestInvalidValueGivesExactlyOneFault(t *testing.T) {
	for _, bad := range questionnairetest.InvalidCases {
		text := bad.Text()
		if bytes.Equal(text, questionnaire.Template) {
			t.Errorf("edit %q does not apply", bad.Old)
			continue
		}
		_, err := questionnaire.Parse(text)
		var faults config.ValidationErrors
		if !errors.As(err, &faults) || len(faults) != 1 || !strings.Contains(faults.Error(), bad.WantFault) || faults[0].Remedy == "" {
			t.Errorf("want %s\ngot  %v", bad.WantFault, err)
		}
	}
}

// Guards against a parser that stops at the first fault.
func TestParseReportsAllFaults(t *testing.T) {
	text := string(questionnaire.Template)
	for _, edit := range [][2]string{{"name = my-team", "name = My"}, {"slots = 3", "slots = x"}, {"count = 2", "count = 0"}, {"tolerated =", "tolerate ="},
		{"[servers lookup zone-b]", "[servers look zone-b]"}, {"caller = 10.0.1.1:7001", "caller = 10.0.1.1:7000"}} {
		text = strings.Replace(text, edit[0], edit[1], 1)
	}
	_, err := questionnaire.Parse([]byte(text))
	var faults config.ValidationErrors
	if !errors.As(err, &faults) || len(faults) != 7 {
		t.Errorf("got %v", err)
	}
}

// Guards against a configuration that depends on the order of sections, of keys in a section or of items in an
// unordered list, and against a generator that is not deterministic.
func TestConfigIsIndependentOfAnswerOrder(t *testing.T) {
	for _, name := range []string{examples.Moravia, examples.Kyushu} {
		text, err := examples.Questionnaire(name)
		if err != nil {
			t.Fatal(err)
		}
		want := generateDocument(t, text)
		rapid.Check(t, func(t *rapid.T) {
			if got := generateDocument(t, []byte(shuffleAnswers(t, string(text)))); !bytes.Equal(got, want) {
				t.Fatalf("got  %s\nwant %s", got, want)
			}
		})
	}
}

func generateDocument(t rapid.TB, text []byte) []byte {
	result, err := questionnaire.GenerateFromText(text)
	if err != nil {
		t.Fatal(err)
	}
	document, err := result.Config.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func shuffleAnswers(t *rapid.T, text string) string {
	sections := rapid.Permutation(strings.Split(text, "\n[")[1:]).Draw(t, "sections")
	for i, section := range sections {
		var answers []string
		head, body, _ := strings.Cut(section, "\n")
		for line := range strings.SplitSeq(body, "\n") {
			if key, value, ok := strings.Cut(line, " = "); ok && !strings.HasPrefix(line, "#") {
				if key == "zones" || key == "idempotent" || key == "tolerated" {
					value = strings.Join(rapid.Permutation(strings.Split(value, ", ")).Draw(t, key), ", ")
				}
				answers = append(answers, key+" = "+value)
			}
		}
		sections[i] = "[" + head + "\n" + strings.Join(rapid.Permutation(answers).Draw(t, "answers"), "\n")
	}
	return strings.Join(sections, "\n")
}

// Guards against hosts and backend servers that move to another cell when others are added, and against cells with
// too many or too few backend servers.
func TestAddingHostsMovesNoHostToAnotherCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, servers := rapid.IntRange(2, 100).Draw(t, "hosts"), rapid.IntRange(1, 100).Draw(t, "servers")
		before, after := generateWithCounts(t, hosts, servers), generateWithCounts(t, hosts+1, servers+1)
		if len(before.Cells()) == len(after.Cells()) {
			if changes := before.Diff(after).Changes; len(changes) != 2 || changes[0].Kind != config.ChangeAdded || changes[1].Kind != config.ChangeAdded {
				t.Fatalf("changes %v", changes)
			}
		}
		sizes := make(map[string]int)
		for _, server := range before.Services[0].Servers {
			if server.Zone == "zone-a" {
				sizes[server.Cell]++
			}
		}
		for _, cell := range before.Cells()[:len(before.Cells())-1] {
			if low := servers / (len(before.Cells()) - 1); sizes[cell] < low || sizes[cell] > low+1 {
				t.Fatalf("cell %s has %d of %d servers", cell, sizes[cell], servers)
			}
		}
	})
}

func generateWithCounts(t *rapid.T, hosts, servers int) *config.Config {
	answers, err := questionnaire.Parse(questionnaire.Template)
	if err != nil {
		t.Fatal(err)
	}
	answers.Hosts[0].Count, answers.Hosts[0].Racks, answers.Servers[0].Count = hosts, nil, servers
	result, err := questionnaire.Generate(answers)
	if err != nil {
		t.Fatal(err)
	}
	return result.Config
}

// Guards against derived values that are missing from the derivations or do not name their answers.
func TestDerivationsNameTheirAnswers(t *testing.T) {
	result, err := questionnaire.GenerateFromText(questionnaire.Template)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, derivation := range result.Derivations {
		lines = append(lines, derivation.String())
	}
	text := strings.Join(lines, "\n")
	for _, want := range []string{
		"zone zone-a: cells = 1 cells; from [hosts zone-a] count; the least number with at most 12 hosts each",
		"peer 10.0.0.1:7000 to 10.0.0.2:7000", "service lookup: longest execution = 400 ms; from [service lookup] max-request-millis; default",
		"service lookup: partitions = 1024 partitions; from [service lookup] partitions; default",
		"service lookup: partitions in cell zone-b-c01 = 512 partitions; from [servers lookup ZONE] weight",
		"service lookup: connections used = 5 connections per backend server", "service lookup: capacity = 12 requests at a time",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not explained in:\n%s", want, text)
		}
	}
}

// Guards against input that makes the parser panic, that yields an invalid configuration, or whose faults have no
// remedy.
func FuzzParse(f *testing.F) {
	f.Add(questionnaire.Template)
	for _, bad := range questionnairetest.InvalidCases {
		if text := bad.Text(); len(text) < 1<<14 {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		result, err := questionnaire.GenerateFromText(text)
		var faults config.ValidationErrors
		if err == nil {
			err = result.Config.Validate()
		} else if !errors.As(err, &faults) || slices.ContainsFunc(faults, func(f config.ValidationError) bool { return f.Remedy == "" }) {
			t.Fatalf("error without remedy: %v", err)
		} else {
			err = nil
		}
		if err != nil {
			t.Fatal(err)
		}
	})
}
