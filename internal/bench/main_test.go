package bench

import (
	"bytes"
	"encoding/csv"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/cli"
)

// Guards the exit codes and output texts on which scripts and operators rely.
func TestMainExitCodes(t *testing.T) {
	cases := []struct {
		args string
		code int
		want string
	}{
		{"--help", cli.ExitOK, "--seed"},
		{"--version", cli.ExitOK, "cores"},
		{"--list", cli.ExitOK, "rolling"},
		{"--experiment nothing", cli.ExitUsage, "--list names all"},
		{"--seed many", cli.ExitUsage, "seed"},
		{"--unknown", cli.ExitUsage, "unknown"},
		{"shift", cli.ExitUsage, "--experiment"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		if code := Main(strings.Fields(c.args), &out, &out); code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("plank-bench %s: exit code %d, want %d; output without %q:\n%s", c.args, code, c.code, c.want, out.String())
		}
	}
}

// Guards against exit code 0 when an experiment fails or its files cannot be written.
func TestExperimentFailureExitCode(t *testing.T) {
	runs := map[string]struct {
		out string
		run func(uint64) (*Report, error)
	}{
		"cannot run":   {"", func(uint64) (*Report, error) { return nil, errors.New("no route") }},
		"cannot write": {filepath.Join(os.DevNull, "x"), func(uint64) (*Report, error) { return &Report{}, nil }},
	}
	for name, c := range runs {
		var out bytes.Buffer
		opts := options{Out: c.out}
		if code := opts.runExperiments([]Experiment{{Name: name, Run: c.run}}, &out, &out); code != cli.ExitFailure || !strings.Contains(out.String(), name) {
			t.Errorf("%s: exit code %d, want %d:\n%s", name, code, cli.ExitFailure, out.String())
		}
	}
}

// Guards against malformed CSV and SVG files, for example from unescaped names.
func TestSavedFilesAreWellFormed(t *testing.T) {
	chart := &Chart{Name: "line", XLabel: "a & b", YLabel: "<y>", Lines: []Line{{Name: "one", Points: []Point{{1, 2}, {3, 4}}}, {Name: "flat", Points: []Point{{1, 2}}}}}
	report := &Report{Experiment: "x", Measurements: []*Measurement{{System: "a, \"b\""}, {System: "c"}}, Charts: []*Chart{chart, {Name: "empty"}}}
	report.Measurements[0].Churn = &Churn{Moved: 0.5, MinMoved: 0.25, Moves: 3}
	directory := filepath.Join(t.TempDir(), "new")
	if err := report.save(directory); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil || len(files) != 6 {
		t.Fatalf("files %v, %v, want 6", files, err)
	}
	for _, name := range files {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		switch filepath.Ext(name) {
		case ".csv":
			if _, err := csv.NewReader(bytes.NewReader(content)).ReadAll(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		case ".svg":
			decoder := xml.NewDecoder(bytes.NewReader(content))
			for err == nil {
				_, err = decoder.Token()
			}
			if !errors.Is(err, io.EOF) {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
	rows := report.rows()
	churn := slices.IndexFunc(rows, func(r row) bool { return r.quantity == "churn" })
	if churn < 0 || !slices.Equal(rows[churn].values, []string{"2", notMeasured}) {
		t.Errorf("rows %+v, want a churn of 2 for the first system only", rows)
	}
}

// Guards against wrong parameters of the least-squares fit, from which docs/CAPACITY.md takes its slopes.
func TestFitLine(t *testing.T) {
	fit := fitLine([]Point{{0, 1}, {1, 3}, {2, 5}})
	if fit.Slope != 2 || fit.Intercept != 1 || fit.R2 != 1 {
		t.Errorf("fit %+v, want slope 2 and intercept 1", fit)
	}
	if noisy := fitLine([]Point{{0, 0}, {1, 1}, {2, 0}}); noisy.Slope != 0 || noisy.R2 != 0 {
		t.Errorf("fit %+v of points without a trend", noisy)
	}
}
