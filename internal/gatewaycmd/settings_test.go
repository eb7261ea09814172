package gatewaycmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sapphireplank/sapphireplank/internal/cli"
)

const settingsFile = `[gateway]
host = h1
team = t
peer-address = 127.0.0.1:21000
caller-address = 127.0.0.1:21100
admin-address = 127.0.0.1:21200
store = http://127.0.0.1:7400
peer = h2=127.0.0.1:21001
peer = h3=127.0.0.1:21002
`

// Checks that the settings file is read and that the command line takes precedence over it.
func TestCommandLineOverridesSettingsFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "gateway.ini")
	if err := os.WriteFile(name, []byte(settingsFile), 0o600); err != nil {
		t.Fatal(err)
	}
	s, done, err := parseArgs([]string{"--settings", name, "--host", "h9"}, &bytes.Buffer{})
	if err != nil || done {
		t.Fatal(done, err)
	}
	if s.Host != "h9" || s.Team != "t" || len(s.Peers) != 2 || s.StopSeconds != 35 {
		t.Errorf("settings %+v", s)
	}
}

// Checks that invalid settings are refused with an error that names the setting.
func TestInvalidSettingsAreUsageErrors(t *testing.T) {
	complete := []string{"--host=h", "--team=t", "--store=http://127.0.0.1:1", "--peer-address=127.0.0.1:1",
		"--caller-address=127.0.0.1:2", "--admin-address=127.0.0.1:3"}
	for _, tc := range []struct{ arg, names string }{
		{"--host=", "host"}, {"--team=", "team"}, {"--store=", "store"},
		{"--peer-address=host:1", "peer-address"}, {"--caller-address=1", "caller-address"},
		{"--admin-address=127.0.0.1", "admin-address"}, {"--peer=h2", "peer"}, {"--peer=h2=x:1", "peer"},
		{"--stop-timeout=0", "stop-timeout"}, {"--no-such-option", "no-such-option"}, {"--settings=absent.ini", "absent.ini"},
	} {
		var errOut bytes.Buffer
		code := Main(append(complete, tc.arg), &bytes.Buffer{}, &errOut)
		if code != cli.ExitUsage || !strings.Contains(errOut.String(), tc.names) {
			t.Errorf("%s: exit code %d, message %q; want %d and the name %q", tc.arg, code, errOut.String(), cli.ExitUsage, tc.names)
		}
	}
}
