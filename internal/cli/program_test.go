package cli

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against exit codes that tell a script the opposite of what happened, and against errors without a remedy.
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
			var out, failures bytes.Buffer
			var options struct {
				Level   int  `long:"level" description:"how deep"`
				Version bool `long:"version" description:"print the version and exit"`
			}
			p := Program{Name: "plank-test", Out: &out, Err: &failures}
			code, ended := p.ParseOnly(strings.Fields(c.args), &options, &options.Version)
			if code != c.code || ended != c.ended {
				t.Errorf("code %d, ended %v; want %d, %v", code, ended, c.code, c.ended)
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(failures.String(), c.err) {
				t.Errorf("output %q, errors %q; want %q, %q", out.String(), failures.String(), c.out, c.err)
			}
		})
	}
}
