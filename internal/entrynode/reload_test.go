package entrynode

import (
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
	"github.com/sapphireplank/sapphireplank/internal/logging"
	"github.com/sapphireplank/sapphireplank/internal/observe"
)

// Guards against SIGHUP ending the process, against changed settings that are not applied, and against invalid
// settings that are.
func TestReload(t *testing.T) {
	// Keeps SIGHUP from ending the test process if it arrives before watchSettings has installed its handler.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	path := writeSettingsFile(t, validSettings)
	settings, err := ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	node := New(settings, Adapter{Store: kv.NewMemoryStore(), Keys: 16}, logging.Discard(), observe.New())
	go node.watchSettings(t.Context(), path)
	change := func(old, new string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(strings.Replace(validSettings, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	change("grace_s = 6", "grace_s = none")
	node.reload(path)
	if node.settings.Load().StopGrace != 6*time.Second {
		t.Fatalf("grace period %v of an invalid file was applied", node.settings.Load().StopGrace)
	}
	change("grace_s = 6", "grace_s = 9")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for node.settings.Load().StopGrace != 9*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
}
