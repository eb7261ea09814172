package mergecmd

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sapphireplank/sapphireplank/internal/version"
)

// Guards against events out of causal order, filters that are not applied, unescaped client text in the output, and
// wrong exit codes. testdata/run holds the event files, command lines and expected outputs.
func TestRun(t *testing.T) {
	directory := t.TempDir()
	datadriven.RunTest(t, "testdata/run", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "file":
			name := filepath.Join(directory, d.CmdArgs[0].Key)
			if err := os.WriteFile(name, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			return ""
		case "run":
			var out, errors bytes.Buffer
			arguments := strings.Fields(strings.ReplaceAll(d.Input, "DIR", directory))
			code := Run(arguments, Streams{In: strings.NewReader(""), Out: &out, Err: &errors})
			return strings.ReplaceAll(normalizeOutput(d.Input, out.String()), directory, "DIR") +
				strings.ReplaceAll(errors.String(), directory, "DIR") + fmt.Sprintf("exit %d\n", code)
		default:
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		}
	})
}

// normalizeOutput removes the style sheet and whatever depends on the terminal width or on the build.
func normalizeOutput(arguments, output string) string {
	switch arguments {
	case "--help":
		return strings.Join(strings.Fields(output), " ") + "\n"
	case "--version":
		return strings.ReplaceAll(output, version.Line(program), "VERSION")
	}
	if _, body, ok := strings.Cut(output, "<body>"); ok {
		return strings.ReplaceAll(body, "\n\n", "\n")
	}
	return output
}
