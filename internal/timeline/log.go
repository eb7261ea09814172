package timeline

import (
	"io"
	"sync"
	"time"
)

// Defaults of LogOptions.
const (
	DefaultQueueSize = 4096
	DefaultRingSize  = 16384
)

// LogOptions are the settings of a Log.
type LogOptions struct {
	// Host is set in events that name none.
	Host string
	// Output receives one JSON document per line. Nil writes nothing.
	Output io.Writer
	// Wall is the wall clock. Default time.Now.
	Wall func() time.Time
	// QueueSize is the number of records that may wait for Output. Default DefaultBuffer.
	QueueSize int
	// RingSize is the number of records that Recent can return. Default DefaultRing; negative keeps none.
	RingSize int
}

// Log is the Recorder of one process. It owns the process's hybrid logical clock.
type Log struct {
	host   string
	wall   func() time.Time
	queue  chan Record
	writer *writer

	// mu protects the fields below. It is held only for memory operations, never for output.
	mu      sync.Mutex
	clock   Clock
	ring    *ring
	dropped uint64
	ignored uint64
	closed  bool
}

// NewLog starts a log. Close ends it.
func NewLog(options LogOptions) *Log {
	if options.Wall == nil {
		options.Wall = time.Now
	}
	if options.QueueSize == 0 {
		options.QueueSize = DefaultQueueSize
	}
	if options.RingSize == 0 {
		options.RingSize = DefaultRingSize
	}
	l := &Log{
		host: options.Host,
		wall: options.Wall,
		ring: newRing(max(options.RingSize, 0)),
	}
	if options.Output != nil {
		l.queue = make(chan Record, options.QueueSize)
		l.writer = newWriter(l, options.Output)
		go l.writer.run(l.queue)
	}
	return l
}

// Record implements Recorder.
func (l *Log) Record(event Event) {
	if event.Host == "" {
		event.Host = l.host
	}
	wall := l.wall()
	l.mu.Lock()
	defer l.mu.Unlock()
	record := Record{At: l.clock.Next(wall), Event: event}
	l.ring.add(record)
	l.enqueue(record)
}

// enqueue passes the record to the writer if it has room. The caller holds mu.
func (l *Log) enqueue(record Record) {
	if l.queue == nil {
		return
	}
	if l.closed {
		l.dropped++
		return
	}
	select {
	case l.queue <- record:
	default:
		l.dropped++
	}
}

// Now returns the timestamp for a message that is about to be sent.
func (l *Log) Now() Timestamp {
	wall := l.wall()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Next(wall)
}

// Observe takes the timestamp of a received message into account. 0 is no timestamp.
func (l *Log) Observe(remote Timestamp) {
	wall := l.wall()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.clock.Observe(remote, wall) {
		l.ignored++
	}
}

// Recent returns the selected records among the last ones, oldest first.
func (l *Log) Recent(filter Filter) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.find(&filter)
}

// Dropped returns the number of records that were not written.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// IgnoredTimestamps returns the number of timestamps that were too far ahead of the wall clock.
func (l *Log) IgnoredTimestamps() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ignored
}

// Close writes the waiting records and ends the writer. Later records are dropped. It returns the first error of
// the output.
func (l *Log) Close() error {
	if l.queue == nil {
		return nil
	}
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	return l.writer.wait()
}

// addDropped counts records that the writer could not write.
func (l *Log) addDropped(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped += n
}

// gap returns a record that stands for dropped records.
func (l *Log) gap(detail string) Record {
	return Record{At: l.Now(), Event: Event{Kind: KindDropped, Host: l.host, Detail: detail}}
}
