package timeline

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// A fixed rapid seed makes the test results reproducible.
var _ = flag.Set("rapid.seed", "1")

// Guards against a message receipt that is ordered before its sending when wall clocks differ or go backwards, and
// against one process with a wrong date that advances the clocks of others.
func TestClockOrdersMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Unix(1_000_000, 0)
		clocks := make([]Clock, 3)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			wall := func(label string) time.Time {
				return base.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, label)) * 300 * time.Millisecond)
			}
			before := clocks[to].last
			sent := clocks[from].Next(wall("send"))
			at := wall("receive")
			accepted := clocks[to].Observe(sent, at)
			if accepted != (sent.Wall().Sub(at) <= MaxClockSkew) && sent.Wall().Sub(at) != MaxClockSkew {
				t.Fatalf("timestamp %v at %v: accepted %v", sent, at, accepted)
			}
			received := clocks[to].Next(at)
			if received <= before || accepted && received <= sent {
				t.Fatalf("received at %v, sent at %v, before %v", received, sent, before)
			}
		}
	})
}

// Guards against timestamps that change when written to a file and read back, and against text that does not sort by
// wall-clock time.
func TestTimestampTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) Timestamp {
			return Timestamp(rapid.Uint64Range(0, 1<<63).Draw(t, "t"))
		})
		a := draw.Draw(t, "a")
		text, _ := a.MarshalText()
		var read Timestamp
		if err := read.UnmarshalText(text); err != nil || read != a {
			t.Fatalf("%s read as %v, %v", text, read, err)
		}
		if b := draw.Draw(t, "b"); a.Wall().Before(b.Wall()) && a.String() >= b.String() {
			t.Fatalf("text of %v does not sort before text of %v", a, b)
		}
	})
	for _, text := range []string{"", "x", "2026-12-04T04:20:40.123456Z", "2026-12-04T04:20:40.123456Z/4096", "2026-12-04T04:20:40Z/1"} {
		if got, err := ParseTimestamp(text); !errors.Is(err, ErrInvalidTimestamp) {
			t.Errorf("ParseTimestamp(%q) = %v, %v", text, got, err)
		}
	}
}

// blockingWriter blocks all writes until release is closed.
type blockingWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func parseRecords(t *testing.T, text string) []Record {
	t.Helper()
	var records []Record
	for line := range strings.Lines(text) {
		var r Record
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		records = append(records, r)
	}
	return records
}

// Guards against a Record call that blocks while the output is blocked, and against dropped records that are neither
// counted nor reported in the output.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queueSize, events = 4, 100
		output := &blockingWriter{release: make(chan struct{})}
		log := NewLog(LogOptions{Host: "h1", Output: output, QueueSize: queueSize, RingSize: 8})
		log.Record(Event{Kind: "test/first"})
		synctest.Wait()
		for range events {
			log.Record(Event{Kind: "test/next", Host: "h2"})
		}
		if got := log.Dropped(); got != events-queueSize {
			t.Fatalf("dropped %d, want %d", got, events-queueSize)
		}
		if got := len(log.Recent(Filter{Kind: "test/"})); got != 8 {
			t.Fatalf("Recent returned %d records, want 8", got)
		}
		close(output.release)
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		log.Record(Event{Kind: "test/late"})
		records := parseRecords(t, output.String())
		if len(records) != 1+queueSize+1 || records[0].Host != "h1" || records[1].Host != "h2" {
			t.Fatalf("wrote %+v", records)
		}
		last := records[len(records)-1]
		if last.Kind != KindDropped || !strings.HasPrefix(last.Detail, "96 ") || log.Dropped() != events-queueSize+1 {
			t.Fatalf("last record %+v, dropped %d", last, log.Dropped())
		}
	})
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }

// Guards against events that are not counted as dropped when the output fails.
func TestLogCountsFailedWrites(t *testing.T) {
	log := NewLog(LogOptions{Output: failingWriter{}})
	log.Record(Event{Kind: "test/a"})
	log.Record(Event{Kind: "test/b"})
	if err := log.Close(); err == nil || log.Dropped() != 2 {
		t.Fatalf("error %v, dropped %d", err, log.Dropped())
	}
}

// Guards against data races between Record, Observe and Recent, and against decreasing timestamps in a file.
func TestLogConcurrent(t *testing.T) {
	var output bytes.Buffer
	log := NewLog(LogOptions{Output: &output, RingSize: 16})
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 200 {
				log.Record(Event{Kind: "test/event"})
				log.Observe(log.Now())
				log.Recent(Filter{Host: "none"})
			}
		})
	}
	group.Wait()
	log.Observe(FromTime(time.Now().Add(time.Hour)))
	if err := log.Close(); err != nil || log.IgnoredTimestamps() != 1 {
		t.Fatalf("error %v, ignored %d", err, log.IgnoredTimestamps())
	}
	records := parseRecords(t, output.String())
	for i := range records[1:] {
		if records[i].At >= records[i+1].At {
			t.Fatalf("record %d at %v, next at %v", i, records[i].At, records[i+1].At)
		}
	}
	if got := uint64(len(records)) + log.Dropped(); got < 800 {
		t.Fatalf("%d of 800 events written or counted as dropped", got)
	}
}

// Guards against filters that match too many or too few records.
func TestFilter(t *testing.T) {
	at := time.Unix(100, 0)
	r := Record{At: FromTime(at), Event: Event{Kind: "cell/claim", Host: "h", Cell: "c", Service: "s", Server: "v", Key: "k", Request: "r"}}
	for _, test := range []struct {
		filter Filter
		want   bool
	}{
		{Filter{}, true},
		{Filter{Key: "k", Request: "r", Host: "h", Cell: "c", Service: "s", Server: "v", Kind: "cell/claim", From: at, To: at}, true},
		{Filter{Kind: "cell/"}, true}, {Filter{Kind: "cell"}, false}, {Filter{Kind: "home/"}, false},
		{Filter{Key: "x"}, false}, {Filter{Request: "x"}, false}, {Filter{Host: "x"}, false}, {Filter{Cell: "x"}, false},
		{Filter{Service: "x"}, false}, {Filter{Server: "x"}, false},
		{Filter{From: at.Add(1000)}, false}, {Filter{To: at.Add(-1000)}, false},
	} {
		if got := test.filter.Match(&r); got != test.want {
			t.Errorf("%+v matched: %v", test.filter, got)
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	log := NewLog(LogOptions{Host: "h1"})
	event := Event{Kind: "home/dispatched", Service: "dispatch", Server: "d-1", Request: "r1"}
	b.ReportAllocs()
	for b.Loop() {
		log.Record(event)
	}
}
