package entrynode

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/cli"
)

// Guards against changes to the exit codes and output on which scripts rely.
func TestCommandLine(t *testing.T) {
	good := writeSettingsFile(t, validSettings)
	bad := writeSettingsFile(t, strings.Replace(validSettings, "ratio = 0.25", "ratio = many", 1))
	cases := []struct {
		args []string
		code int
		out  string
		err  string
	}{
		{[]string{"--help"}, cli.ExitOK, "--print-settings", ""},
		{[]string{"--version"}, cli.ExitOK, program, ""},
		{[]string{"--check", good}, cli.ExitOK, "no faults", ""},
		{[]string{"--check", bad}, cli.ExitUsage, "", "[retries] ratio"},
		{[]string{"--print-settings", good}, cli.ExitOK, "[retries] ratio = 0.25  (file)", ""},
		{[]string{"--print-settings", good}, cli.ExitOK, "[retries] slack = 20  (default)", ""},
		{[]string{"--settings", bad}, cli.ExitUsage, "", "[retries] ratio"},
		{[]string{"--unknown"}, cli.ExitUsage, "", "unknown"},
		{[]string{"more"}, cli.ExitUsage, "", "unexpected argument"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := Main(c.args, "", nil, &out, &errOut); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) {
				t.Errorf("output %q, errors %q", out.String(), errOut.String())
			}
		})
	}
}
