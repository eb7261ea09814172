package election

import (
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

var testSettings = Settings{TTL: 2 * time.Second, RenewInterval: 300 * time.Millisecond, OutageGrace: 12 * time.Second, CampaignDelay: 50 * time.Millisecond}

// elected returns a process that was elected at revision 10 at one second.
func elected(t *testing.T) *Election {
	t.Helper()
	e := New(testSettings, Leader{Host: "a"})
	if err := e.Observe(0, 5, 0, nil); err != nil {
		t.Fatal(err)
	}
	call, due := e.NextCall(time.Second)
	if !due || call.Kind != CallCampaign {
		t.Fatalf("call %+v, due %v", call, due)
	}
	e.CampaignDone(CampaignResult{Term: 10, Lease: 7}, nil, time.Second, time.Second)
	if e.State() != StateLeading {
		t.Fatalf("state %s", e.State())
	}
	return e
}

// Guards against a process that goes on as the elected one when another is, its lease has ended, or it was cut off
// for too long; and against one that gives up because of what happened before it was elected.
func TestLosing(t *testing.T) {
	cases := []struct {
		name   string
		happen func(e *Election)
		leads  bool
	}{
		{"nothing", func(*Election) {}, true},
		{"an older absence is reported late", func(e *Election) { _ = e.Observe(2*time.Second, 9, 0, nil) }, true},
		{"the record vanished", func(e *Election) { _ = e.Observe(2*time.Second, 11, 0, nil) }, false},
		{"another was elected", func(e *Election) { _ = e.Observe(2*time.Second, 12, 12, []byte(`{"host":"b"}`)) }, false},
		{"the lease has ended", func(e *Election) { e.RenewalDone(kv.ErrLeaseNotFound, 2*time.Second) }, false},
		{"the store does not answer", func(e *Election) { e.RenewalDone(kv.ErrOutcomeUnknown, 2*time.Second) }, true},
		{"cut off, within the stretch", func(e *Election) { e.NextCall(14 * time.Second) }, true},
		{"cut off for longer", func(e *Election) { e.NextCall(16 * time.Second) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := elected(t)
			c.happen(e)
			if leads := e.State() == StateLeading; leads != c.leads {
				t.Fatalf("leads: %v, want %v", leads, c.leads)
			}
		})
	}
}

// Guards against changes that are recorded, or expected to be, under a lease that may have ended.
func TestConfirmed(t *testing.T) {
	e := elected(t)
	if !e.LeaseConfirmed(2 * time.Second) {
		t.Error("not confirmed within the time of the lease")
	}
	if e.LeaseConfirmed(3100 * time.Millisecond) {
		t.Error("confirmed after the time of the lease")
	}
	e.NextCall(3100 * time.Millisecond)
	e.RenewalDone(nil, 3100*time.Millisecond)
	if !e.LeaseConfirmed(4 * time.Second) {
		t.Error("not confirmed after a renewal")
	}
}

// Guards against campaigns while there is an elected process, before the store was read, and all at the same time.
func TestCampaign(t *testing.T) {
	e := New(testSettings, Leader{Host: "a"})
	if _, due := e.NextCall(time.Minute); due {
		t.Error("campaign before the store was read")
	}
	if err := e.Observe(time.Minute, 5, 3, []byte(`{"host":"b"}`)); err != nil {
		t.Fatal(err)
	}
	if _, due := e.NextCall(2 * time.Minute); due {
		t.Error("campaign against an elected process")
	}
	if err := e.Observe(3*time.Minute, 6, 0, nil); err != nil {
		t.Fatal(err)
	}
	if _, due := e.NextCall(3*time.Minute + testSettings.CampaignDelay/2); due {
		t.Error("campaign before its delay")
	}
	if _, due := e.NextCall(3*time.Minute + testSettings.CampaignDelay); !due {
		t.Error("no campaign after its delay")
	}
	e.CampaignDone(CampaignResult{}, kv.ErrConflict, 3*time.Minute, 3*time.Minute)
	if e.State() != StateFollowing {
		t.Errorf("state %s after a lost campaign", e.State())
	}
}
