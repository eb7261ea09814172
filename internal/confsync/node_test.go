package confsync

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestDocument(revision uint64, id string) Document {
	return Document{Version: Version{Revision: revision, ID: id}, Bytes: fmt.Appendf(nil, "%d %s", revision, id)}
}

func newTestNode() *Node {
	return New(Options{Self: "h1", Random: func(int) int { return 0 }})
}

// completeStoreCall reports a result for the pending store call of n and returns the output.
func completeStoreCall(n *Node, now time.Duration, r StoreResult) Output {
	r.Seq = n.store.pendingCall.Seq
	return n.HandleStoreResult(now, r)
}

// Guards against a gateway that reaches no peer and puts a stale value of the store in force: it must first confirm the
// value by a write.
func TestIsolatedStartConfirmsStoreValue(t *testing.T) {
	n := newTestNode()
	n.Start(0, []string{"h2"})
	completeStoreCall(n, 1, StoreResult{Version: 6, Document: newTestDocument(6, "a")})
	n.SetTopology(2, Topology{Cell: "c", Cells: []Cell{{Name: "c", Hosts: []string{"h1", "h2"}}}})
	n.Tick(StartTimeout)
	write := n.store.pendingCall
	if n.InForce().Revision != 0 || write.Kind != StoreWrite || write.Version != 6 || write.Document.ID != "a" {
		t.Fatalf("in force %v, request %+v", n.InForce().Version, write)
	}
	completeStoreCall(n, StartTimeout, StoreResult{Err: StoreConflict})
	n.Tick(StartTimeout + StoreRetryInterval)
	completeStoreCall(n, StartTimeout+StoreRetryInterval, StoreResult{Version: 7, Document: newTestDocument(7, "b")})
	n.SetTopology(StartTimeout+StoreRetryInterval, n.topology)
	out := completeStoreCall(n, StartTimeout+2*StoreRetryInterval, StoreResult{Version: 8})
	if out.InForce == nil || out.InForce.Revision != 7 {
		t.Fatalf("in force %v, output %+v, call %+v", n.InForce().Version, out, n.store.pendingCall)
	}
}

// Guards against store calls by gateways that are neither holder nor successor of the first cell of a zone, and against
// a watch that stays open when a gateway is no longer a watcher.
func TestOnlyWatchersCallTheStore(t *testing.T) {
	n := newTestNode()
	topology := Topology{Cell: "c", Holder: "h1", Watcher: true}
	n.Accepted(0, newTestDocument(1, "a"))
	n.SetTopology(0, topology)
	out := completeStoreCall(n, 1, StoreResult{Version: 1, Document: newTestDocument(1, "a")})
	if len(out.Store) != 1 || out.Store[0].Kind != StoreWatch || out.Store[0].Version != 1 {
		t.Fatalf("store requests of a watcher: %+v", out.Store)
	}
	topology.Watcher = false
	out = n.SetTopology(2, topology)
	if len(out.Store) != 1 || out.Store[0].Kind != StoreCancelWatch || out.Store[0].Seq != 2 {
		t.Fatalf("store requests of a former watcher: %+v", out.Store)
	}
	for now := time.Duration(3); now < time.Minute; now += time.Second {
		if out := n.Tick(now); len(out.Store) != 0 {
			t.Fatalf("store requests at %v: %+v", now, out.Store)
		}
	}
}

// Guards against wrong outcomes of an accept operation after lost responses, stale reads and concurrent accepts.
func TestAcceptOutcomes(t *testing.T) {
	const write, read = StoreWrite, StoreRead
	seen := Version{Revision: 4, ID: "seen"}
	at := func(revision uint64, id string) StoreResult {
		return StoreResult{Version: revision, Document: newTestDocument(revision, id)}
	}
	ok, lost, conflict := StoreResult{Version: 5}, StoreResult{Err: StoreUnavailable}, StoreResult{Err: StoreConflict}
	type step struct {
		request StoreKind
		result  StoreResult
	}
	for name, test := range map[string]struct {
		steps []step
		want  AcceptOutcome
	}{
		"accepted":             {[]step{{read, at(4, "seen")}, {write, ok}}, AcceptDone},
		"restored store":       {[]step{{read, at(2, "old")}, {write, ok}}, AcceptDone},
		"empty store":          {[]step{{read, StoreResult{Err: StoreNotFound}}, {write, ok}}, AcceptDone},
		"lost response":        {[]step{{read, at(4, "seen")}, {write, lost}, {read, at(5, "new")}}, AcceptDone},
		"lost request":         {[]step{{read, at(4, "seen")}, {write, lost}, {read, at(4, "seen")}, {write, ok}}, AcceptDone},
		"stale read back":      {[]step{{read, at(4, "seen")}, {write, lost}, {read, at(4, "seen")}, {write, conflict}, {read, at(5, "new")}}, AcceptDone},
		"other was first":      {[]step{{read, at(5, "other")}}, AcceptConflict},
		"other won the race":   {[]step{{read, at(4, "seen")}, {write, conflict}, {read, at(5, "other")}}, AcceptConflict},
		"other id":             {[]step{{read, at(4, "other")}}, AcceptConflict},
		"overtaken":            {[]step{{read, at(4, "seen")}, {write, lost}, {read, at(6, "next")}}, AcceptOvertaken},
		"never answered":       {[]step{{read, lost}, {read, lost}}, AcceptUnanswered},
		"write never answered": {[]step{{read, at(4, "seen")}, {write, lost}, {read, lost}}, AcceptUnknown},
		"write in flight":      {[]step{{read, at(4, "seen")}}, AcceptUnknown},
	} {
		a, err := NewAccept(seen, seen, newTestDocument(5, "new"))
		if err != nil {
			t.Fatal(err)
		}
		for i, s := range test.steps {
			if a.Outcome() != AcceptPending || a.Request().Kind != s.request {
				t.Fatalf("%s: step %d: outcome %q, request %+v", name, i, a.Outcome(), a.Request())
			}
			a.HandleResult(StoreResult{Seq: a.Request().Seq + 1, Err: StoreConflict}) // results of other requests must be ignored
			s.result.Seq = a.Request().Seq
			a.HandleResult(s.result)
		}
		if a.GiveUp(); a.Outcome() != test.want {
			t.Errorf("%s: outcome %q, want %q", name, a.Outcome(), test.want)
		}
	}
	if _, err := NewAccept(seen, Version{Revision: 5}, newTestDocument(6, "x")); !errors.Is(err, ErrOutdated) {
		t.Errorf("accept based on an outdated version: %v", err)
	}
	if _, err := NewAccept(seen, seen, newTestDocument(4, "x")); !errors.Is(err, ErrRevisionOrder) {
		t.Errorf("accept without a greater revision: %v", err)
	}
}

// Guards against patches that produce a wrong document, also when applied to another base, and against panics on
// malformed patches.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.SampledFrom([]string{`{"name":"host-0001","zone":"brno-hall","cell":"c"},`, "x", "0123456789abcdef0123456789abcdef", ""})
		text := func(label string) []byte {
			var b bytes.Buffer
			for _, w := range rapid.SliceOfN(word, 0, 20).Draw(t, label) {
				b.WriteString(w)
			}
			return b.Bytes()
		}
		base, target := text("base"), text("target")
		patch := makePatch(base, target)
		if got, ok := applyPatch(base, patch); !ok || !bytes.Equal(got, target) {
			t.Fatalf("patched document %q, %v, want %q", got, ok, target)
		}
		if got, ok := applyPatch(text("other"), patch); ok && !bytes.Equal(got, target) {
			t.Fatalf("patch applied to another base produced %q", got)
		}
		if len(patch) > 0 {
			patch[rapid.IntRange(0, len(patch)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		if got, ok := applyPatch(base, patch); ok && !bytes.Equal(got, target) {
			t.Fatalf("corrupted patch produced %q", got)
		}
	})
}

// Guards against a gateway that stays behind because it cannot apply a patch: it must request the full document.
func TestInvalidPatchRequestsFullDocument(t *testing.T) {
	n := newTestNode()
	n.Accepted(0, newTestDocument(1, "a"))
	n.HandlePeerState(1, "h2", State{Revision: 2})
	bad := Content{Version: Version{Revision: 2, ID: "b"}, Base: Version{Revision: 1, ID: "a"}, Data: []byte("damaged patch")}
	out := n.Receive(2, "h2", bad)
	if len(out.Messages) != 1 || !reflect.DeepEqual(out.Messages[0], OutgoingMessage{To: "h2", Message: Pull{}}) || n.Held().Revision != 1 {
		t.Fatalf("output %+v", out)
	}
}

// Guards against messages that are altered by encoding and decoding, and against malformed ones being accepted.
func TestMarshal(t *testing.T) {
	v, w := Version{Revision: 3, ID: "x"}, Version{Revision: 4, ID: "y"}
	for _, m := range []Message{
		Exchange{State: State{Revision: 3, Tag: 7, Disputed: true}, Cell: "c", Holder: "h", Reply: true}, Exchange{},
		Pull{Have: v}, Pull{}, Content{Version: w, Base: v, Data: []byte("d")}, Content{Version: w, Data: []byte("d")},
	} {
		data, err := Marshal(m)
		got, readErr := Unmarshal(data)
		if err != nil || readErr != nil || !reflect.DeepEqual(got, m) || len(data) != Size(m) {
			t.Errorf("%+v was decoded as %+v, errors %v, %v", m, got, err, readErr)
		}
	}
	for _, data := range []string{"", "\xff"} {
		if m, err := Unmarshal([]byte(data)); !errors.Is(err, ErrInvalidMessage) {
			t.Errorf("Unmarshal(%q) = %v, %v", data, m, err)
		}
	}
}

var threeHosts = Topology{Cell: "c", Holder: "h2", Cells: []Cell{{Name: "c", Hosts: []string{"h1", "h2", "h3"}}}}

// Guards against a starting gateway that uses the first response although the store, or a peer with a greater revision,
// has not responded yet.
func TestStartWaitsForAllResponses(t *testing.T) {
	document := newTestDocument(7, "b")
	for name, inputs := range map[string][]func(n *Node, now time.Duration){
		"peer last": {
			func(n *Node, now time.Duration) {
				completeStoreCall(n, now, StoreResult{Version: 6, Document: newTestDocument(6, "a")})
			},
			func(n *Node, now time.Duration) {
				n.Receive(now, "h2", Exchange{State: State{Revision: 6, Tag: Version{ID: "a"}.Tag()}, Reply: true})
			},
			func(n *Node, now time.Duration) {
				n.Receive(now, "h3", Exchange{State: State{Revision: 7}, Reply: true})
			},
			func(n *Node, now time.Duration) {
				n.Receive(now, "h3", Content{Version: document.Version, Data: document.Bytes})
			},
		},
		"store last": {
			func(n *Node, now time.Duration) {
				n.Receive(now, "h2", Content{Version: Version{Revision: 6, ID: "a"}, Data: []byte("6 a")})
			},
			func(n *Node, now time.Duration) {
				n.Receive(now, "h2", Exchange{State: State{Revision: 6}, Reply: true})
			},
			func(n *Node, now time.Duration) {
				n.Receive(now, "h3", Exchange{State: State{Revision: 6}, Reply: true})
			},
			func(n *Node, now time.Duration) {
				completeStoreCall(n, now, StoreResult{Version: 7, Document: document})
			},
		},
	} {
		n := newTestNode()
		n.Start(0, []string{"h2"})
		for i, input := range inputs {
			if got := n.InForce(); got.Revision != 0 {
				t.Fatalf("%s: revision %d in force before input %d", name, got.Revision, i)
			}
			input(n, time.Duration(i+1))
			n.SetTopology(time.Duration(i+1), threeHosts)
		}
		n.Tick(ReplicationTimeout + 1*time.Second)
		if got := n.InForce(); got.Revision != 7 {
			t.Errorf("%s: revision %d in force at the end", name, got.Revision)
		}
	}
}

// Guards against a document that is put in force before a second gateway of the cell holds it, and against one that is
// never put in force because the other gateways do not respond.
func TestInForceRequiresSecondCopy(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		n := newTestNode()
		n.Accepted(0, newTestDocument(7, "b"))
		n.SetTopology(0, threeHosts)
		n.HandlePeerState(1, "h2", State{Revision: 6})
		n.HandlePeerState(1, "h3", State{Revision: 7})
		n.HandlePeerState(1, "elsewhere", n.State())
		if n.Tick(ReplicationTimeout - 1); n.InForce().Revision != 0 {
			t.Fatal("in force although no gateway of the cell holds the document")
		}
		if confirmed {
			n.HandlePeerState(ReplicationTimeout-1, "h3", n.State())
		} else {
			n.Tick(ReplicationTimeout)
		}
		if n.InForce().Revision != 7 {
			t.Fatalf("not in force; confirmed by a peer: %v", confirmed)
		}
	}
}
