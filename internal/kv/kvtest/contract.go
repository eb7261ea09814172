// Package kvtest holds the contract tests that every implementation of kv.Store must pass.
package kvtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/kv"
)

// StoreUnderTest is a store under test with the operations that are not part of kv.Store.
type StoreUnderTest struct {
	kv.Store
	// Compact discards the history of the store.
	Compact func()
	// Copy copies the store. The function that it returns restores the copy.
	Copy func() (restore func())
}

// leaseTTL is long enough for a test to renew a lease in time on a busy machine.
const leaseTTL = 2 * time.Second

// Run runs the contract tests. newStore returns an empty store.
func Run(t *testing.T, newStore func(t *testing.T) StoreUnderTest) {
	for name, test := range map[string]func(*testing.T, StoreUnderTest){
		"conditions":         testConditions,
		"atomic transaction": testAtomicity,
		"list":               testList,
		"watch":              testWatch,
		"compacted":          testCompacted,
		"lease":              testLease,
		"restored":           testRestored,
	} {
		t.Run(name, func(t *testing.T) { test(t, newStore(t)) })
	}
}

func commit(t *testing.T, store kv.Store, txn kv.Txn) kv.Revision {
	t.Helper()
	revision, err := store.Commit(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func put(key, value string) kv.Txn { return kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte(value)}}} }

// testConditions guards against two processes that both acquire the same key.
func testConditions(t *testing.T, b StoreUnderTest) {
	txn := put("a", "1")
	txn.Conditions = []kv.Condition{{Key: "a"}}
	first := commit(t, b, txn)
	if _, err := b.Commit(t.Context(), txn); !errors.Is(err, kv.ErrConflict) {
		t.Fatalf("second creation: %v, want %v", err, kv.ErrConflict)
	}
	txn.Conditions[0].Revision = first
	second := commit(t, b, txn)
	item, err := b.Get(t.Context(), "a")
	if err != nil || item.Revision != second || item.Created != first || !first.Before(second) {
		t.Fatalf("item %+v, error %v; written at %v and %v", item, err, first, second)
	}
	if _, err := b.Get(t.Context(), "b"); !errors.Is(err, kv.ErrNotFound) {
		t.Fatalf("missing key: %v, want %v", err, kv.ErrNotFound)
	}
}

// testAtomicity guards against a transaction that is applied in part.
func testAtomicity(t *testing.T, b StoreUnderTest) {
	commit(t, b, put("a", "1"))
	_, err := b.Commit(t.Context(), kv.Txn{
		Conditions: []kv.Condition{{Key: "missing", Revision: kv.Revision{Number: 1}}},
		Puts:       []kv.Put{{Key: "b", Value: []byte("2")}},
		Deletes:    []string{"a"},
	})
	if !errors.Is(err, kv.ErrConflict) {
		t.Fatalf("error %v, want %v", err, kv.ErrConflict)
	}
	listing, err := b.List(t.Context(), "")
	if err != nil || len(listing.Items) != 1 || listing.Items[0].Key != "a" {
		t.Fatalf("items %+v, error %v", listing.Items, err)
	}
}

// testList guards against a listing that omits pages.
func testList(t *testing.T, b StoreUnderTest) {
	const count = 70
	for i := range count {
		commit(t, b, put(fmt.Sprintf("p/%02d", i), "x"))
	}
	commit(t, b, put("q", "x"))
	listing, err := b.List(t.Context(), "p/")
	if err != nil || len(listing.Items) != count {
		t.Fatalf("%d items, error %v, want %d", len(listing.Items), err, count)
	}
	if listing.AsOf.IsZero() {
		t.Fatal("listing has no revision")
	}
}

// testWatch guards against changes that are missed between a listing and a watch, or between two watches.
func testWatch(t *testing.T, b StoreUnderTest) {
	commit(t, b, put("p/a", "1"))
	listing, err := b.List(t.Context(), "p/")
	if err != nil {
		t.Fatal(err)
	}
	commit(t, b, put("p/b", "2"))
	commit(t, b, put("other", "3"))
	commit(t, b, kv.Txn{Deletes: []string{"p/a"}})
	var events []kv.Event
	for asOf := listing.AsOf; len(events) < 2; {
		changes, err := b.Watch(t.Context(), "p/", asOf, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, changes.Events...)
		asOf = changes.AsOf
	}
	if events[0].Key != "p/b" || string(events[0].Value) != "2" || events[1].Key != "p/a" || !events[1].Deleted {
		t.Fatalf("events %+v", events)
	}
	changes, err := b.Watch(t.Context(), "p/", events[1].Revision, 10*time.Millisecond)
	if err != nil || len(changes.Events) != 0 {
		t.Fatalf("watch without changes returned %+v, error %v", changes, err)
	}
}

// testCompacted guards against a watch that continues without an error after a gap in the history.
func testCompacted(t *testing.T, b StoreUnderTest) {
	first := commit(t, b, put("a", "1"))
	commit(t, b, put("a", "2"))
	b.Compact()
	if _, err := b.Watch(t.Context(), "", first, time.Second); !errors.Is(err, kv.ErrCompacted) {
		t.Fatalf("error %v, want %v", err, kv.ErrCompacted)
	}
}

// testLease guards against keys that outlive their lease, and against writes under an expired lease.
func testLease(t *testing.T, b StoreUnderTest) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	lease, err := b.GrantLease(ctx, leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	txn := kv.Txn{Puts: []kv.Put{{Key: "a", Value: []byte("1"), Lease: lease}}}
	asOf := commit(t, b, txn)
	if _, err := b.RenewLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if err := b.RevokeLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	changes, err := b.Watch(ctx, "", asOf, time.Second)
	if err != nil || len(changes.Events) != 1 || !changes.Events[0].Deleted {
		t.Fatalf("after the end of the lease: %+v, error %v", changes, err)
	}
	if _, err := b.RenewLease(ctx, lease); !errors.Is(err, kv.ErrLeaseNotFound) {
		t.Fatalf("renewal: %v, want %v", err, kv.ErrLeaseNotFound)
	}
	if _, err := b.Commit(ctx, txn); !errors.Is(err, kv.ErrLeaseNotFound) {
		t.Fatalf("write: %v, want %v", err, kv.ErrLeaseNotFound)
	}
}

// testRestored guards against revisions of a lost history that count as those of the current one: in listings, watches,
// conditions and renewals.
func testRestored(t *testing.T, b StoreUnderTest) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	commit(t, b, put("kept", "1"))
	restore := b.Copy()
	lost := commit(t, b, put("lost", "2"))
	lease, err := b.GrantLease(ctx, leaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	restore()
	again := commit(t, b, put("lost", "3"))
	if again.Number != lost.Number || !lost.Before(again) {
		t.Fatalf("revision %v after %v of the lost history, want the same number in a later era", again, lost)
	}
	listing, err := b.List(ctx, "")
	if err != nil || len(listing.Items) != 2 || listing.AsOf != again || string(listing.Items[1].Value) != "3" {
		t.Fatalf("listing %+v, error %v", listing, err)
	}
	if _, err := b.Watch(ctx, "", lost, time.Second); !errors.Is(err, kv.ErrCompacted) {
		t.Fatalf("watch from the lost history: error %v, want %v", err, kv.ErrCompacted)
	}
	txn := put("lost", "4")
	txn.Conditions = []kv.Condition{{Key: "lost", Revision: lost}}
	if _, err := b.Commit(ctx, txn); !errors.Is(err, kv.ErrConflict) {
		t.Fatalf("condition on the lost history: error %v, want %v", err, kv.ErrConflict)
	}
	if era, err := b.RenewLease(ctx, lease); !errors.Is(err, kv.ErrLeaseNotFound) || era != again.Era {
		t.Fatalf("renewal of a lost lease: era %d, error %v, want %v", era, err, kv.ErrLeaseNotFound)
	}
}
