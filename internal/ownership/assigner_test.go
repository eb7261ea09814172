package ownership

import (
	"testing"
	"time"
)

// record encodes and decodes the table of an assigner, as the store does.
func record(t *testing.T, a *Assigner, now time.Duration) *Table {
	t.Helper()
	table, sequence := a.Table(now)
	value, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeTable(value, historySettings.Keys)
	if err != nil {
		t.Fatal(err)
	}
	a.MarkRecorded(sequence)
	return decoded
}

var allKeys = Keys{First: 0, Last: historySettings.Keys - 1}

// assignerOf returns an assigner that has granted all keys to a holder, which has confirmed the grant at time 0.
func assignerOf(t *testing.T, settings Settings, holder Holder) *Assigner {
	t.Helper()
	a := NewAssigner(settings, 0)
	a.Apply([]Move{{Keys: allKeys, To: holder}}, 0)
	record(t, a, 0)
	for _, order := range a.DueOrders(0) {
		a.HandleResult(Result{Order: order, At: 0})
	}
	return a
}

// grantsTo reports whether a grant to a holder is due.
func grantsTo(a *Assigner, holder Holder, now time.Duration) bool {
	for _, order := range a.DueOrders(now) {
		if order.Kind == OrderGrant && order.Receiver() == holder {
			return true
		}
	}
	return false
}

// Guards against keys of a lost server that are held back longer with each election, because the grace period of a
// gateway that lost its term long ago starts anew.
func TestGraceDoesNotStartAnew(t *testing.T) {
	lost, next := Holder{ID: "lost", Addr: "1"}, Holder{ID: "next", Addr: "2"}
	elect := func(host string, table *Table, now time.Duration) *Assigner {
		settings := historySettings
		settings.Host = host
		return NewAssignerFromTable(settings, table, now)
	}
	first := NewAssigner(historySettings, 0)
	first.Apply([]Move{{Keys: allKeys, To: lost}}, 0)
	table := record(t, first, 0)

	elected := elect("b", table, 0)
	elected.Apply([]Move{{Keys: allKeys, To: next}}, 0)
	const secondElection = 5 * time.Second
	table = record(t, elected, secondElection)
	elected = elect("c", table, secondElection)
	record(t, elected, secondElection)

	end := historySettings.PredecessorGrace + historySettings.OrderLifetime + historySettings.maxHold()
	if grantsTo(elected, next, end-time.Millisecond) {
		t.Fatal("keys granted while the first elected gateway may have renewed them for the lost server")
	}
	if !grantsTo(elected, next, max(end, secondElection+historySettings.OrderLifetime+historySettings.maxHold())+time.Millisecond) {
		t.Fatal("keys not granted after the grace period of the first elected gateway")
	}
}

// Guards against keys in transit that are held back anew by an election, although their former holder has had no grant
// for long.
func TestHoldOfFormerHolderDoesNotStartAnew(t *testing.T) {
	former, next := Holder{ID: "former", Addr: "1"}, Holder{ID: "next", Addr: "2"}
	settings := historySettings
	settings.Host = "a"
	first := assignerOf(t, settings, former)
	held := settings.maxHold() + settings.OrderTimeout
	const movedAt, electedAt = time.Second, 4 * time.Second
	first.Apply([]Move{{Keys: allKeys, To: next}}, movedAt)
	record(t, first, movedAt)
	table := record(t, first, electedAt-time.Millisecond)
	settings.Host = "b"
	second := NewAssignerFromTable(settings, table, electedAt)
	record(t, second, electedAt)
	if !grantsTo(second, next, held+time.Millisecond) {
		t.Fatalf("keys not granted at %v, when the last grant to the former holder has expired", held)
	}
}

// Guards against keys in transit that are held back until a grant expires, although their former holder has confirmed
// its last grant and a release.
func TestReleaseAfterElectionFreesKeys(t *testing.T) {
	former, next := Holder{ID: "former", Addr: "1"}, Holder{ID: "next", Addr: "2"}
	settings := historySettings
	settings.Host = "a"
	first := assignerOf(t, settings, former)
	const now = time.Second
	first.Apply([]Move{{Keys: allKeys, To: next}}, now)
	settings.Host = "b"
	second := NewAssignerFromTable(settings, record(t, first, now), now)
	record(t, second, now)
	for _, order := range second.DueOrders(now) {
		second.HandleResult(Result{Order: order, At: now})
	}
	if !grantsTo(second, next, now) {
		t.Fatal("keys not granted after the former holder has released them")
	}
}
