package entrynode

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

const validSettings = `[host]
name = h1
zone = z
address = 10.0.0.1
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
internal_ports = 7380,7395
[store]
address = 10.0.0.9:90
[retries]
ratio = 0.25
[stop]
grace_s = 6
`

func writeSettingsFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestReadSettings(t *testing.T) {
	settings, err := ReadSettings(writeSettingsFile(t, validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if settings.InternalPorts != [2]int{7380, 7395} || settings.RetryRatio != 0.25 || settings.StopGrace != 6*time.Second {
		t.Errorf("settings %+v", settings)
	}
	if settings.OrderLifetime != 10*time.Second {
		t.Errorf("order lifetime %v, want the default", settings.OrderLifetime)
	}
	if settings.LongestGrant != 10*time.Second {
		t.Errorf("longest grant %v, want the default", settings.LongestGrant)
	}
}

// Guards against a process that starts with an invalid setting, and against an error that reports only the first of
// several invalid settings.
func TestInvalidSettings(t *testing.T) {
	text := strings.NewReplacer("ratio = 0.25", "ratio = many", "name = h1", "name =", "callers = 10.0.0.1:80", "callers = here").Replace(validSettings)
	_, err := ReadSettings(writeSettingsFile(t, text))
	if !errors.Is(err, ErrInvalidSetting) {
		t.Fatalf("error %v, want %v", err, ErrInvalidSetting)
	}
	for _, part := range []string{"[host] name", "[listen] callers", "[retries] ratio", hintAddressPort} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("message does not name %q: %v", part, err)
		}
	}
}

// Guards against values that pass the check and fail later: a number that is none, a window that is divided by, a log
// level that does not exist.
func TestUnusableSettings(t *testing.T) {
	for _, c := range []struct{ section, key, value string }{
		{"retries", "ratio", "NaN"},
		{"retries", "ratio", "+Inf"},
		{"retries", "window_s", "0"},
		{"retries", "window_s", "1e300"},
		{"host", "cores", "NaN"},
		{"host", "memory_mb", "0"},
		{"host", "body_memory_percent", "51"},
		{"host", "body_buffer_kb", "0"},
		{"store", "shortest_lease_ms", "0"},
		{"ownership", "longest_grant_ms", "0"},
		{"ownership", "order_lifetime_ms", "0"},
		{"metrics", "port", "70000"},
		{"listen", "internal_ports", "7380"},
		{"log", "levels", "loud"},
		{"log", "levels", "entry=loud"},
	} {
		_, err := ReadSettings(writeSettingsFile(t, withSetting(t, c.section, c.key, c.value)))
		if !errors.Is(err, ErrInvalidSetting) || !strings.Contains(err.Error(), "["+c.section+"] "+c.key) || !strings.Contains(err.Error(), ": use ") {
			t.Errorf("%s = %s: error %v, want section, key and remedy", c.key, c.value, err)
		}
	}
}

// withSetting returns the valid settings with one value replaced.
func withSetting(t *testing.T, section, key, value string) string {
	t.Helper()
	file, err := ini.Load([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	file.Section(section).Key(key).SetValue(value)
	var text strings.Builder
	if _, err := file.WriteTo(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}
