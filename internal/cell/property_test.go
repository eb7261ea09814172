package cell

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/keyspace"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// TestRegister guards against an arbiter that names two winners for one claim, and against different decisions of a
// gateway and the store as arbiter.
func TestRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory, value := &claimRegister{}, []byte(nil)
		winners := make(map[claimID]Member)
		for range rapid.IntRange(1, 60).Draw(t, "claims") {
			id := claimID{
				Epoch:      Epoch{Generation: rapid.Uint64Range(1, 3).Draw(t, "generation"), Term: rapid.Uint64Range(1, 5).Draw(t, "term")},
				arbiterSeq: rapid.Uint64Range(1, 3).Draw(t, "seq"),
			}
			claimant := Member{Host: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"), Incarnation: 1}
			winner := memory.decide(id, claimant)
			stored, after, err := decideStoredClaim(value, id.Epoch, id.arbiterSeq, claimant)
			if err != nil || stored != winner {
				t.Fatalf("store decides %v (%v), gateway %v", stored, err, winner)
			}
			if after != nil {
				value = after
			}
			known, decided := winners[id]
			if decided && !winner.IsZero() && winner != known {
				t.Fatalf("claim %v won by %v and %v", id, known, winner)
			}
			if !winner.IsZero() {
				winners[id] = winner
			}
		}
	})
}

// TestTableLog guards against a copy of the table that differs from the holder's after a sequence of deltas.
func TestTableLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTableLog(newTable())
		l.table.generation = 1
		copies := []*table{newTable(), newTable(), newTable()}
		l.putService("s", 8)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			token := fence.Token{Generation: 1, Term: 1, Seq: uint64(i + 1)}
			owner := Owner{Server: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "server"), Token: token, Releasing: rapid.Bool().Draw(t, "releasing")}
			key := unit{service: "s", key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")}
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				l.putOwner(key, owner)
			case 1:
				l.removeKey(key)
			case 2:
				l.putServer(serverEntry{name: "a", service: "s", home: Member{Host: "h", Incarnation: uint64(i)}, token: token, state: ServerDown})
			case 3:
				l.removeServer("a")
			default:
				p := rapid.Uint32Range(0, 7).Draw(t, "partition")
				l.putOwner(unit{service: "s", partition: keyspace.Partition(p)}, owner)
			}
			if rapid.Bool().Draw(t, "seal") {
				l.seal()
			}
			c := rapid.SampledFrom(copies).Draw(t, "copy")
			if _, err := c.apply(l.deltaSince(c.generation, c.version, l.table.version, l.table)); err != nil && !l.hasUnsealedChanges() {
				t.Fatal(err)
			}
		}
		l.seal()
		for _, c := range copies {
			if _, err := c.apply(l.deltaSince(c.generation, c.version, l.table.version, l.table)); err != nil {
				t.Fatal(err)
			}
			if tableHash(c) != tableHash(l.table) {
				t.Fatalf("copy %v differs from %v", c.wholeDelta(), l.table.wholeDelta())
			}
		}
	})
}

// TestDeltaShape guards against a panic on a delta with inconsistent columns.
func TestDeltaShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.SliceOfN(rapid.Uint32Range(0, 5), 0, 4)
		large := rapid.SliceOfN(rapid.Uint64Range(0, 5), 0, 4)
		d := &wire.TableDelta{Generation: 1, To: 1, Whole: true, Services: []*wire.ServiceDelta{{
			Name: "s", Partitions: 4, ServerNames: rapid.SliceOfN(rapid.String(), 0, 3).Draw(t, "names"),
			Partition: small.Draw(t, "partition"), Server: small.Draw(t, "server"),
			Generation: large.Draw(t, "generation"), Term: large.Draw(t, "term"), Seq: large.Draw(t, "seq"),
			Releasing: small.Draw(t, "releasing"),
		}}}
		if _, err := newTable().apply(d); err != nil {
			return
		}
		if entries := len(d.Services[0].Server); entries != len(d.Services[0].Seq) {
			t.Fatalf("%d entries with %d tokens accepted", entries, len(d.Services[0].Seq))
		}
	})
}

// TestAssignEvenly guards against a default policy that moves partitions needlessly or distributes them unevenly.
func TestAssignEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 6).Draw(t, "servers")
		r := AssignRequest{Previous: slices.Repeat([]int{Unowned}, 64), Placed: slices.Repeat([]bool{true}, 64)}
		for range servers {
			r.Servers = append(r.Servers, AssignServer{Weight: 1, State: ServerUp})
		}
		first := AssignEvenly(r)
		counts := make([]int, servers)
		for _, o := range first.Owners {
			counts[o]++
		}
		if slices.Max(counts) > (64+servers-1)/servers {
			t.Fatalf("uneven: %v", counts)
		}
		r.Previous = first.Owners
		if again := AssignEvenly(r); !slices.Equal(again.Owners, first.Owners) {
			t.Fatalf("needless move: %v to %v", first.Owners, again.Owners)
		}
	})
}
