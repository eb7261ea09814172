package entrynode

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/retry"
)

// settingsPoll is how often the settings file is read without a signal: it may change without one.
const settingsPoll = 2 * time.Second

// watchSettings puts changed settings in force, on SIGHUP and from time to time.
func (n *Node) watchSettings(ctx context.Context, path string) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			n.log.Info("settings are read again after SIGHUP")
		case <-ticker.C:
		}
		n.reload(path)
	}
}

// reload puts the settings of a file in force that a running process can change. Wrong settings change nothing.
func (n *Node) reload(path string) {
	settings, err := ReadSettings(path)
	if err != nil {
		n.log.WithError(err).Warning("settings not changed; correct the file")
		return
	}
	last := n.settings.Load()
	if *settings == *last {
		return
	}
	n.settings.Store(settings)
	n.budgets.SetLimits(retryLimits(settings))
	n.dispatcher.SetDrain(settings.ServerDrain)
	n.log.Info("settings changed; those of addresses, names and log levels hold from the next start")
}

func retryLimits(s *Settings) retry.WindowLimits {
	return retry.WindowLimits{Window: s.RetryWindow, Ratio: s.RetryRatio, Slack: s.RetrySlack}
}
