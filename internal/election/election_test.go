package election

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

var testSettings = Settings{
	TTL: 2 * time.Second, RenewInterval: 300 * time.Millisecond, OutageGrace: 12 * time.Second,
	CampaignDelay: 50 * time.Millisecond,
}

// testEra is the era of the store at the start of a test.
const testEra = 1

// at returns a revision of testEra.
func at(number int64) kv.Revision { return kv.Revision{Era: testEra, Number: number} }

// newLeader returns an election that was won at revision 10, one second after the start.
func newLeader(t *testing.T) *Election {
	t.Helper()
	e := New(testSettings, Leader{Host: "a"})
	if err := e.Observe(0, at(5), kv.Revision{}, nil); err != nil {
		t.Fatal(err)
	}
	call, due := e.NextCall(time.Second)
	if !due || call.Kind != CallCampaign {
		t.Fatalf("call %+v, due %v", call, due)
	}
	e.CampaignDone(CampaignResult{Term: at(10), Lease: 7}, nil, time.Second, time.Second)
	if e.State() != StateLeading {
		t.Fatalf("state %s", e.State())
	}
	return e
}

// Guards against a leader that stays in its role after another process was elected, after its lease expired or after
// losing the store for longer than the limit, and against one that steps down because of an event that predates its
// election.
func TestLossOfLeadership(t *testing.T) {
	cases := []struct {
		name   string
		happen func(e *Election)
		leads  bool
	}{
		{"nothing", func(*Election) {}, true},
		{"stale observation from before the election", func(e *Election) { _ = e.Observe(2*time.Second, at(9), kv.Revision{}, nil) }, true},
		{"record deleted", func(e *Election) { _ = e.Observe(2*time.Second, at(11), kv.Revision{}, nil) }, false},
		{"another leader elected", func(e *Election) { _ = e.Observe(2*time.Second, at(12), at(12), []byte(`{"host":"b"}`)) }, false},
		{"lease expired", func(e *Election) { e.RenewalDone(testEra, kv.ErrLeaseNotFound, 2*time.Second) }, false},
		{"renewal with unknown outcome", func(e *Election) { e.RenewalDone(testEra, kv.ErrOutcomeUnknown, 2*time.Second) }, true},
		{"store unreachable within the limit", func(e *Election) { e.NextCall(14 * time.Second) }, true},
		{"store unreachable beyond the limit", func(e *Election) { e.NextCall(16 * time.Second) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newLeader(t)
			c.happen(e)
			if leads := e.State() == StateLeading; leads != c.leads {
				t.Fatalf("leads: %v, want %v", leads, c.leads)
			}
		})
	}
}

// Guards against treating the lease as confirmed, and thus writing, when it may have expired.
func TestConfirmed(t *testing.T) {
	e := newLeader(t)
	if !e.LeaseConfirmed(2 * time.Second) {
		t.Error("lease not confirmed within its TTL")
	}
	if e.LeaseConfirmed(3100 * time.Millisecond) {
		t.Error("lease still confirmed after its TTL")
	}
	e.NextCall(3100 * time.Millisecond)
	e.RenewalDone(testEra, nil, 3100*time.Millisecond)
	if !e.LeaseConfirmed(4 * time.Second) {
		t.Error("lease not confirmed after a renewal")
	}
}

// Guards against campaigning while there is a leader, before the store was read, or without the delay that staggers the
// processes.
func TestCampaign(t *testing.T) {
	e := New(testSettings, Leader{Host: "a"})
	if _, due := e.NextCall(time.Minute); due {
		t.Error("campaigned before the store was read")
	}
	if err := e.Observe(time.Minute, at(5), at(3), []byte(`{"host":"b"}`)); err != nil {
		t.Fatal(err)
	}
	if _, due := e.NextCall(2 * time.Minute); due {
		t.Error("campaigned while there was a leader")
	}
	if err := e.Observe(3*time.Minute, at(6), kv.Revision{}, nil); err != nil {
		t.Fatal(err)
	}
	if _, due := e.NextCall(3*time.Minute + testSettings.CampaignDelay/2); due {
		t.Error("campaigned before the delay")
	}
	if _, due := e.NextCall(3*time.Minute + testSettings.CampaignDelay); !due {
		t.Error("did not campaign after the delay")
	}
	e.CampaignDone(CampaignResult{}, kv.ErrConflict, 3*time.Minute, 3*time.Minute)
	if e.State() != StateFollowing {
		t.Errorf("state %s after a lost campaign", e.State())
	}
}

// Guards against a wait for the lease of a record that an earlier process on this host left, and against the removal of
// a record under which somebody acts.
func TestWithdrawsRecordOfOwnHost(t *testing.T) {
	withdraws := func(e *Election, now time.Duration) bool {
		call, due := e.NextCall(now)
		return due && call.Kind == CallWithdraw && call.Revision == at(7)
	}
	e := New(testSettings, Leader{Host: "a"})
	if err := e.Observe(time.Second, at(9), at(7), []byte(`{"host":"b"}`)); err != nil {
		t.Fatal(err)
	}
	if withdraws(e, time.Minute) {
		t.Error("withdrew the record of another host")
	}
	e = New(testSettings, Leader{Host: "a"})
	if err := e.Observe(time.Second, at(9), at(7), []byte(`{"host":"a"}`)); err != nil {
		t.Fatal(err)
	}
	if !withdraws(e, time.Second) {
		t.Error("did not withdraw the record of an earlier process")
	}
	if withdraws(e, time.Second) {
		t.Error("withdrew the record while the first call was in progress")
	}
	e.WithdrawalDone()
	if withdraws(e, time.Second) {
		t.Error("tried again without a delay")
	}
	if !withdraws(e, time.Second+withdrawRetryDelay) {
		t.Error("did not try again")
	}
	leader := newLeader(t)
	for now := time.Second; now < 3*time.Second; now += 100 * time.Millisecond {
		if call, due := leader.NextCall(now); due && call.Kind == CallWithdraw {
			t.Fatal("withdrew its own record while elected")
		}
		leader.RenewalDone(testEra, nil, now)
	}
}

// Guards against a leader that writes on the strength of a record that a restored store may lack, that gives up its role
// to an election that has ended, or that keeps it although another process was elected since.
func TestReclaim(t *testing.T) {
	restored := kv.Revision{Era: testEra + 1, Number: 4}
	otherRecord := func(host string, era int) func(e *Election) {
		value := fmt.Appendf(nil, `{"host":%q,"id":"x","era":%d}`, host, era)
		return func(e *Election) { _ = e.Observe(2*time.Second, restored, restored, value) }
	}
	reclaimed := CampaignResult{Term: restored, Lease: 8}
	cases := []struct {
		name   string
		happen func(e *Election)
		state  string
	}{
		{"nothing", func(*Election) {}, StateReclaiming},
		{"reclaimed", func(e *Election) { e.ReclaimDone(reclaimed, nil, 2*time.Second, 2*time.Second) }, StateLeading},
		{"failed", func(e *Election) { e.ReclaimDone(CampaignResult{}, kv.ErrUnavailable, 2*time.Second, 2*time.Second) }, StateReclaiming},
		{"another elected", func(e *Election) { e.ReclaimDone(CampaignResult{}, kv.ErrConflict, 2*time.Second, 2*time.Second) }, StateFollowing},
		{"another elected, seen in the store", otherRecord("b", testEra+1), StateFollowing},
		{"record of an election that has ended", otherRecord("c", testEra), StateReclaiming},
		{"record of an earlier process on this host", otherRecord("a", testEra+1), StateReclaiming},
		{"record that may have replaced it", func(e *Election) {
			e.ObserveEra(2*time.Second, testEra+2, false)
			_ = e.Observe(2*time.Second, kv.Revision{Era: testEra + 2, Number: 4}, restored, []byte(`{"host":"c","id":"x","era":1}`))
		}, StateFollowing},
		{"no record", func(e *Election) { _ = e.Observe(2*time.Second, restored, kv.Revision{}, nil) }, StateReclaiming},
		{"lease renewed in the new era", func(e *Election) { e.RenewalDone(testEra+1, nil, 2*time.Second) }, StateReclaiming},
		{"lease lost with the history", func(e *Election) { e.RenewalDone(testEra+1, kv.ErrLeaseNotFound, 2*time.Second) }, StateReclaiming},
		{"restored once more", func(e *Election) {
			e.ObserveEra(2*time.Second, testEra+2, true)
			e.ReclaimDone(reclaimed, nil, 2*time.Second, 2*time.Second)
		}, StateReclaiming},
		{"not reclaimed within the limit", func(e *Election) { e.NextCall(16 * time.Second) }, StateFollowing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := New(testSettings, Leader{Host: "a", ID: "a"})
			_ = e.Observe(0, at(5), kv.Revision{}, nil)
			if call, due := e.NextCall(time.Second); !due || call.Kind != CallCampaign {
				t.Fatalf("call %+v, due %v", call, due)
			}
			e.CampaignDone(CampaignResult{Term: at(10), Lease: 7}, nil, time.Second, time.Second)
			e.ObserveEra(2*time.Second, testEra+1, true)
			if e.LeaseConfirmed(2 * time.Second) {
				t.Fatal("lease counts as confirmed although the record may be lost")
			}
			if call, due := e.NextCall(2 * time.Second); !due || call.Kind != CallReclaim || call.Lease != 7 {
				t.Fatalf("call %+v, due %v", call, due)
			}
			if c.happen(e); e.State() != c.state {
				t.Fatalf("state %s, want %s", e.State(), c.state)
			}
		})
	}
}

// Guards against another process that is elected before the leader of before can write its record again.
func TestCampaignWaitsForReclaim(t *testing.T) {
	settings := testSettings
	settings.ReclaimGrace = time.Second
	e := New(settings, Leader{Host: "b", ID: "b"})
	e.ObserveEra(0, testEra, false)
	_ = e.Observe(0, at(5), at(5), []byte(`{"host":"a","id":"a-1"}`))
	e.ObserveEra(10*time.Second, testEra+1, false)
	_ = e.Observe(10*time.Second, kv.Revision{Era: testEra + 1, Number: 3}, kv.Revision{}, nil)
	if _, due := e.NextCall(10*time.Second + 900*time.Millisecond); due {
		t.Error("campaigned within the time to reclaim")
	}
	if _, due := e.NextCall(11 * time.Second); !due {
		t.Error("did not campaign after the time to reclaim")
	}
}
