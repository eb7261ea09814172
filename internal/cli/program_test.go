package cli

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against wrong exit codes, and against usage errors that do not refer to --help.
func TestParse(t *testing.T) {
	cases := []struct {
		args  string
		code  int
		ended bool
		out   string
		err   string
	}{
		{"", ExitOK, false, "", ""},
		{"--level 3", ExitOK, false, "", ""},
		{"--help", ExitOK, true, "how deep", ""},
		{"--version", ExitOK, true, "plank-test", ""},
		{"--level x", ExitUsage, true, "", "see --help"},
		{"--missing", ExitUsage, true, "", "see --help"},
		{"stray", ExitUsage, true, "", `unexpected argument "stray"`},
	}
	for _, c := range cases {
		t.Run(c.args, func(t *testing.T) {
			var out, errOut bytes.Buffer
			var options struct {
				Level   int  `long:"level" description:"how deep"`
				Version bool `long:"version" description:"print the version and exit"`
			}
			p := Program{Name: "plank-test", Out: &out, Err: &errOut}
			code, ended := p.ParseOnly(strings.Fields(c.args), &options, &options.Version)
			if code != c.code || ended != c.ended {
				t.Errorf("code %d, ended %v; want %d, %v", code, ended, c.code, c.ended)
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) {
				t.Errorf("output %q, errors %q; want %q, %q", out.String(), errOut.String(), c.out, c.err)
			}
		})
	}
}
