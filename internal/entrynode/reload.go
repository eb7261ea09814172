package entrynode

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/retry"
	"github.com/sapphireplank/sapphireplank/internal/serverstate"
)

// settingsPollInterval is how often the settings file is re-read, so that edits take effect even without SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and every settingsPollInterval, until the context is done.
func (n *Node) watchSettings(ctx context.Context, path string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			n.log.Info("SIGHUP received; reloading settings")
		case <-ticker.C:
		}
		n.reload(path)
	}
}

// reload reads the settings file and applies the settings that can change at run time. If the file is invalid, the
// current settings stay in force.
func (n *Node) reload(path string) {
	settings, err := ReadSettings(path)
	if err != nil {
		n.log.WithError(err).Warning("settings not changed; fix the reported errors in the settings file")
		return
	}
	current := n.settings.Load()
	if reflect.DeepEqual(settings, current) {
		return
	}
	n.settings.Store(settings)
	n.budgets.SetLimits(retryLimits(settings))
	n.dispatcher.SetPeriods(drainPeriods(settings))
	n.log.Info("settings changed; [retries], [servers] drain_ms, [zones] drain_ms and [stop] grace_s are in force, all others at the next start")
}

func drainPeriods(s *Settings) serverstate.Periods {
	return serverstate.Periods{Drain: s.ServerDrain, ZoneDrain: s.ZoneDrain}
}

func retryLimits(s *Settings) retry.WindowLimits {
	return retry.WindowLimits{Window: s.RetryWindow, Ratio: s.RetryRatio, Slack: s.RetrySlack}
}
