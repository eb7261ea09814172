package ownership

import (
	"testing"
	"time"
)

// FuzzDecodeTable guards against a stored table that makes the elected gateway panic, or that it does not understand as
// it writes it.
func FuzzDecodeTable(f *testing.F) {
	a := NewAssigner(historySettings, 0)
	a.Apply([]Move{{Keys: Keys{First: 2, Last: 5}, To: Holder{ID: "a", StartedAtMs: 1, Addr: "1"}}}, 0)
	a.Apply([]Move{{Keys: Keys{First: 2, Last: 5}, To: Holder{ID: "b", Addr: "2"}}}, time.Second)
	table, _ := a.Table(time.Second)
	value, err := table.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add(value[:len(value)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		table, err := DecodeTable(value, historySettings.Keys)
		if err != nil {
			return
		}
		again, err := table.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeTable(again, historySettings.Keys); err != nil {
			t.Fatalf("table cannot be read again after it was written: %v", err)
		}
		a := NewAssignerFromTable(historySettings, table, time.Minute)
		_, sequence := a.Table(time.Minute)
		a.MarkRecorded(sequence)
		for _, order := range a.DueOrders(time.Minute) {
			a.HandleResult(Result{Order: order, At: time.Minute})
		}
	})
}
