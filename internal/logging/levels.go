package logging

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// ErrUnknownLevel is returned by ParseLevels for an unknown level.
var ErrUnknownLevel = errors.New("unknown log level; use panic, fatal, error, warning, info, debug or trace")

// Levels holds the log level of each component.
type Levels struct {
	// Default is the level of components that are not listed in Components.
	Default logrus.Level
	// Components maps components to their levels.
	Components map[string]logrus.Level
}

// For returns the level of a component.
func (l Levels) For(component string) logrus.Level {
	if level, ok := l.Components[component]; ok {
		return level
	}
	return l.Default
}

// ParseLevels parses a setting such as "info" or "info,control=debug,home=warning". An empty setting means "info".
func ParseLevels(setting string) (Levels, error) {
	levels := Levels{Default: logrus.InfoLevel, Components: make(map[string]logrus.Level)}
	for item := range strings.SplitSeq(setting, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		component, name, named := strings.Cut(item, "=")
		if !named {
			component, name = "", item
		}
		level, err := logrus.ParseLevel(strings.TrimSpace(name))
		if err != nil {
			return Levels{}, errors.Wrapf(ErrUnknownLevel, "%q", item)
		}
		if !named {
			levels.Default = level
			continue
		}
		levels.Components[strings.TrimSpace(component)] = level
	}
	return levels, nil
}
