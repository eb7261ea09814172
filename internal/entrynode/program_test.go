package entrynode

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against exit codes and outputs that scripts cannot rely on.
func TestCommandLine(t *testing.T) {
	good := write(t, goodSettings)
	bad := write(t, strings.Replace(goodSettings, "ratio = 0.25", "ratio = many", 1))
	cases := []struct {
		args []string
		code int
		out  string
		err  string
	}{
		{[]string{"--help"}, exitDone, "--print-settings", ""},
		{[]string{"--version"}, exitDone, program, ""},
		{[]string{"--check", good}, exitDone, "no faults", ""},
		{[]string{"--check", bad}, exitUsage, "", "[retries] ratio"},
		{[]string{"--print-settings", good}, exitDone, "[retries] ratio = 0.25  (file)", ""},
		{[]string{"--print-settings", good}, exitDone, "[retries] slack = 20  (default)", ""},
		{[]string{"--settings", bad}, exitUsage, "", "[retries] ratio"},
		{[]string{"--unknown"}, exitUsage, "", "unknown"},
		{[]string{"more"}, exitUsage, "", "unexpected argument"},
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
