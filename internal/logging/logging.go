// Package logging creates a logger for each component of a process. Each message starts with the component's name.
package logging

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
)

// Logs creates the loggers of one process.
type Logs struct {
	output io.Writer
	levels Levels

	// mu protects the fields below.
	mu      sync.Mutex
	loggers map[string]*logrus.Entry
}

// New returns loggers that write to output, one line per entry.
func New(output io.Writer, levels Levels) *Logs {
	return &Logs{
		output:  &lockedWriter{output: output},
		levels:  levels,
		loggers: make(map[string]*logrus.Entry),
	}
}

// Discard returns loggers that write nothing.
func Discard() *Logs {
	return New(io.Discard, Levels{Default: logrus.PanicLevel})
}

// Part returns the logger of a component, for example "cell". Each message starts with the name and a colon.
func (l *Logs) Part(name string) *logrus.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.loggers[name]; ok {
		return entry
	}
	logger := logrus.New()
	logger.SetOutput(l.output)
	logger.SetLevel(l.levels.Of(name))
	logger.SetFormatter(newFormatter(name))
	entry := logrus.NewEntry(logger)
	l.loggers[name] = entry
	return entry
}
