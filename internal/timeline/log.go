package timeline

import (
	"io"
	"sync"
	"time"
)

// Defaults for LogOptions.
const (
	DefaultQueueSize = 4096
	DefaultRingSize  = 16384
)

// LogOptions configures a Log.
type LogOptions struct {
	// Host is the host of events that do not set their own.
	Host string
	// Output receives one JSON document per line. If nil, records are kept in memory only.
	Output io.Writer
	// Wall returns the wall-clock time. Default: time.Now.
	Wall func() time.Time
	// QueueSize is the capacity of the queue of records to be written to Output. Default: DefaultQueueSize.
	QueueSize int
	// RingSize is the number of recent records kept in memory for Recent. Default: DefaultRingSize; if negative, none
	// are kept.
	RingSize int
}

// Log is the Recorder of one process and owns its hybrid logical clock.
type Log struct {
	host   string
	wall   func() time.Time
	queue  chan Record
	writer *writer

	// mu guards the fields below. It is never held during output, so that Record cannot block on it.
	mu                sync.Mutex
	clock             Clock
	ring              *ring
	dropped           uint64
	ignoredTimestamps uint64
	closed            bool
}

// NewLog returns a Log and starts its writer. Call Close to stop it.
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

// enqueue queues the record for the writer, or counts it as dropped if the queue is full or the log is closed. The
// caller must hold mu.
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

// Now returns the timestamp for a message about to be sent.
func (l *Log) Now() Timestamp {
	wall := l.wall()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.Next(wall)
}

// Observe advances the clock to the timestamp of a received message. A timestamp of 0 means that the message had none.
func (l *Log) Observe(remote Timestamp) {
	wall := l.wall()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.clock.Observe(remote, wall) {
		l.ignoredTimestamps++
	}
}

// Recent returns the records in memory that match the filter, oldest first.
func (l *Log) Recent(filter Filter) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ring.matching(&filter)
}

// Dropped returns the number of records that were not written to the output.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// IgnoredTimestamps returns the number of peer timestamps that were ignored because they exceeded MaxClockSkew.
func (l *Log) IgnoredTimestamps() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ignoredTimestamps
}

// Close writes the queued records, stops the writer and returns the first error of the output. Records added later are
// dropped.
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

// addDropped counts n records that the writer failed to write.
func (l *Log) addDropped(n uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped += n
}

// dropRecord returns a record that reports dropped records.
func (l *Log) dropRecord(detail string) Record {
	return Record{At: l.Now(), Event: Event{Kind: KindDropped, Host: l.host, Detail: detail}}
}
