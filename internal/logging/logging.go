// Package logging creates a logger for each component of a process. Each message starts with the component's name.
package logging

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
)

// Loggers creates the loggers of one process.
type Loggers struct {
	output io.Writer
	levels Levels

	// mu protects the fields below.
	mu      sync.Mutex
	loggers map[string]*logrus.Entry
}

// New returns loggers that write to output, one line per entry.
func New(output io.Writer, levels Levels) *Loggers {
	return &Loggers{
		output:  &lockedWriter{output: output},
		levels:  levels,
		loggers: make(map[string]*logrus.Entry),
	}
}

// Discard returns loggers that write nothing.
func Discard() *Loggers {
	return New(io.Discard, Levels{Default: logrus.PanicLevel})
}

// Component returns the logger of a component, for example "control". Each message starts with the name and a colon.
func (l *Loggers) Component(name string) *logrus.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.loggers[name]; ok {
		return entry
	}
	logger := logrus.New()
	logger.SetOutput(l.output)
	logger.SetLevel(l.levels.For(name))
	logger.SetFormatter(newFormatter(name))
	entry := logrus.NewEntry(logger)
	l.loggers[name] = entry
	return entry
}
