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

// Guards against a process that SIGHUP ends, and against changed settings that are not put in force, or wrong ones
// that are.
func TestReload(t *testing.T) {
	// The signal must not end the test if it comes before the process under test waits for it.
	early := make(chan os.Signal, 1)
	signal.Notify(early, syscall.SIGHUP)
	defer signal.Stop(early)
	path := write(t, goodSettings)
	settings, err := ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	node := New(settings, Adapter{Store: kv.NewMemoryStore(), Keys: 16}, logging.Discard(), observe.New())
	go node.watchSettings(t.Context(), path)
	change := func(old, new string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(strings.Replace(goodSettings, old, new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	change("grace_s = 6", "grace_s = none")
	node.reload(path)
	if node.settings.Load().StopGrace != 6*time.Second {
		t.Fatalf("wrong grace time %v was put in force", node.settings.Load().StopGrace)
	}
	change("grace_s = 6", "grace_s = 9")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for node.settings.Load().StopGrace != 9*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
}
