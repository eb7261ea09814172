// Package logging makes the log of each part of a process. Each line starts with the part's name.
package logging

import (
	"io"
	"sync"

	"github.com/sirupsen/logrus"
)

// Loggers makes the logs of one process.
type Loggers struct {
	output io.Writer
	levels Levels

	// mu protects the fields below.
	mu    sync.Mutex
	parts map[string]*logrus.Entry
}

// New returns logs that write to output, one line per entry.
func New(output io.Writer, levels Levels) *Loggers {
	return &Loggers{
		output: &lockedWriter{output: output},
		levels: levels,
		parts:  make(map[string]*logrus.Entry),
	}
}

// Discard returns logs that write nothing.
func Discard() *Loggers {
	return New(io.Discard, Levels{Default: logrus.PanicLevel})
}

// Component returns the log of a part, for example "cell". Each message starts with the part's name and a colon.
func (l *Loggers) Component(name string) *logrus.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry, ok := l.parts[name]; ok {
		return entry
	}
	logger := logrus.New()
	logger.SetOutput(l.output)
	logger.SetLevel(l.levels.For(name))
	logger.SetFormatter(newFormatter(name))
	entry := logrus.NewEntry(logger)
	l.parts[name] = entry
	return entry
}
