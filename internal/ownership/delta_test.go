package ownership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Guards against gateways that route requests to other owners than the recorded ones after applying a series of deltas.
func TestDeltasReproduceRecordedTable(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	settings := historySettings
	settings.Keys = 64
	assigner := NewAssigner(settings, 0)
	recorded, _ := assigner.Table(0)
	replica := &Table{Rows: recorded.Rows}
	for i := range 300 {
		now := time.Duration(i) * time.Second
		first := random.IntN(settings.Keys)
		table, _ := assigner.Table(now)
		row := table.Find(first)
		keys := Keys{First: first, Last: first + random.IntN(row.Last-first+1)}
		if row.Moving {
			keys = row.Keys
		}
		assigner.Apply([]Move{{Keys: keys, To: Holder{ID: fmt.Sprint(random.IntN(5))}}}, now)
		assigner.MarkRecorded(assigner.lastSeq)
		for _, order := range assigner.DueOrders(now) {
			assigner.HandleResult(Result{Order: order, At: now})
		}
		assigner.RefreshRows(8)
		next, _ := assigner.Table(now)
		patched, err := replica.Patch(next.Delta(recorded))
		if err != nil {
			t.Fatal(err)
		}
		for key := range settings.Keys {
			want, got := next.Find(key), patched.Find(key)
			if want.Owner != got.Owner || want.Token != got.Token || want.Moving != got.Moving {
				t.Fatalf("after delta %d, key %d: %+v, want %+v", i, key, got, want)
			}
		}
		recorded, replica = next, patched
	}
}

// Guards against accepting a delta that leaves keys without a row, exceeds the table or names an unknown holder.
func TestPatchRejectsGaps(t *testing.T) {
	table := &Table{Rows: []Row{{Keys: Keys{First: 0, Last: 9}}, {Keys: Keys{First: 10, Last: 19}}}}
	for name, delta := range map[string]*wire.OwnershipDelta{
		"gap":            {Rows: []*wire.DeltaRow{{First: 2, Last: 9}}},
		"beyond the end": {Rows: []*wire.DeltaRow{{First: 10, Last: 25}}},
		"unknown holder": {Rows: []*wire.DeltaRow{{First: 0, Last: 9, Owner: 1}}},
	} {
		if _, err := table.Patch(delta); !errors.Is(err, ErrInvalidTable) {
			t.Errorf("%s: error %v, want %v", name, err, ErrInvalidTable)
		}
	}
}
