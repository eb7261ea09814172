package logging

import "github.com/sirupsen/logrus"

const timeLayout = "2006-01-02T15:04:05.000Z"

// formatter formats entries as text, with the component as a prefix of the message and with timestamps in UTC.
type formatter struct {
	prefix string
	text   logrus.TextFormatter
}

func newFormatter(component string) *formatter {
	return &formatter{
		prefix: component + ": ",
		text:   logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeLayout},
	}
}

// Format implements logrus.Formatter.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	prefixed := *entry
	prefixed.Message = f.prefix + entry.Message
	prefixed.Time = entry.Time.UTC()
	return f.text.Format(&prefixed)
}
