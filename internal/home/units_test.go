package home

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/backend"
	"github.com/sapphireplank/sapphireplank/internal/cell"
	"github.com/sapphireplank/sapphireplank/internal/fence"
)

// TestSketch guards against a hot key that is missed, or whose count is off by more than its stated error.
func TestSketch(t *testing.T) {
	s := newSketch(64)
	random := rand.New(rand.NewPCG(5, 5))
	zipf := rand.NewZipf(random, 1.1, 1, 99_999)
	counts := make(map[string]uint64)
	const requests = 200_000
	for range requests {
		key := fmt.Sprint(zipf.Uint64())
		counts[key]++
		s.add(key)
	}
	found := s.take()
	for i, hot := range found {
		if hot.Requests < counts[hot.Key] || hot.Requests-hot.Error > counts[hot.Key] {
			t.Errorf("key %s: %+v, true count %d", hot.Key, hot, counts[hot.Key])
		}
		if i < 10 && hot.Key != fmt.Sprint(i) {
			t.Errorf("place %d: key %s", i, hot.Key)
		}
	}
	if len(found) != 64 || found[0].Error > requests/64 || len(s.take()) != 0 {
		t.Errorf("%d keys, first %+v", len(found), found[0])
	}
}

// TestAssignmentOf guards against scopes that are lost when an ownership table is converted to an assignment.
func TestAssignmentOf(t *testing.T) {
	view := &cell.ServiceView{
		Owners: []cell.Owner{{Server: "a", Token: fence.Token{Seq: 1}}, {Server: "b"}, {Server: "a", Releasing: true}},
		HotKeys: map[string]cell.Owner{
			"mine": {Server: "a", Token: fence.Token{Seq: 2}}, "other": {Server: "b"}, "nobody": {},
		},
	}
	got := fmt.Sprint(AssignmentOf(view, "a"))
	want := fmt.Sprint(Assignment{
		Owned: []OwnedScope{
			{Token: fence.Token{Seq: 1}},
			{Scope: backend.Scope{Partition: 2}, Releasing: true},
			{Scope: backend.Scope{HotKey: "mine"}, Token: fence.Token{Seq: 2}},
		},
		RemoteHotKeys: map[string]bool{"other": true, "nobody": true},
	})
	if got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	_ = AssignmentOf(nil, "a") // must not panic while the service has no ownership table yet
}

// FuzzUUIDTime guards against text that is wrongly accepted as a UUIDv7, and against a wrong time.
func FuzzUUIDTime(f *testing.F) {
	f.Add("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", int64(0x017F22E279B0)) // RFC 9562, appendix A.6
	f.Add("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", int64(1))
	f.Fuzz(func(t *testing.T, text string, millis int64) {
		if created, ok := uuidTime(text); ok {
			bare := strings.Trim(text, `"`)
			if len(bare) != 36 || bare[14] != '7' || !strings.HasPrefix(strings.ReplaceAll(strings.ToLower(bare), "-", ""), fmt.Sprintf("%012x", created.UnixMilli())) {
				t.Fatalf("%q became %v", text, created)
			}
		}
		millis &= 1<<48 - 1
		if created, ok := uuidTime(uuidV7(time.UnixMilli(millis))); !ok || created.UnixMilli() != millis {
			t.Fatalf("%d became %v", millis, created)
		}
	})
}

// fixedBackend returns the same response immediately.
type fixedBackend struct{ body string }

func (f fixedBackend) Do(context.Context, *backend.Request) (*backend.Response, error) {
	return &backend.Response{Status: 200, Body: io.NopCloser(strings.NewReader(f.body)), ContentLength: int64(len(f.body))}, nil
}

// idleGrantor acknowledges every call.
type idleGrantor struct{}

func (idleGrantor) Renew(context.Context, backend.GrantSet, time.Time) (backend.RenewResult, error) {
	return backend.RenewResult{}, nil
}
func (idleGrantor) Withdraw(context.Context, []backend.Scope) error { return nil }
func (idleGrantor) Probe(context.Context) (backend.Health, error)   { return backend.Health{}, nil }

// BenchmarkDo measures the dispatcher without a backend server.
func BenchmarkDo(b *testing.B) {
	lease := time.Now().Add(time.Hour)
	d := New(Config{Slots: 2, LeaseEnd: func() time.Time { return lease }}, fixedBackend{"answer"}, idleGrantor{})
	defer d.Close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := &backend.Request{Subscriber: "s", Key: "k", Method: http.MethodGet, Path: "/", Deadline: lease}
		for pb.Next() {
			response, err := d.Do(context.Background(), req)
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				b.Error(err)
			}
		}
	})
}
