package cell

import (
	"cmp"

	"github.com/sapphireplank/sapphireplank/internal/fence"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// Member identifies one process of a gateway.
type Member struct {
	Host string
	// Incarnation is the random value that the process chose at start.
	Incarnation uint64
}

// IsZero reports whether m identifies no process.
func (m Member) IsZero() bool { return m == Member{} }

// IsStore reports whether m stands for the store as arbiter.
func (m Member) IsStore() bool { return m.Host == StoreArbiter }

func (m Member) toWire() *wire.Member {
	if m.IsZero() {
		return nil
	}
	return &wire.Member{Host: m.Host, Incarnation: m.Incarnation}
}

func memberFromWire(w *wire.Member) Member {
	return Member{Host: w.GetHost(), Incarnation: w.GetIncarnation()}
}

// Epoch identifies an authority of a cell; later authorities have greater epochs.
type Epoch struct {
	Generation uint64
	Term       uint64
}

// Compare returns -1, 0 or +1 if e is before, equal to or after other.
func (e Epoch) Compare(other Epoch) int {
	return cmp.Or(cmp.Compare(e.Generation, other.Generation), cmp.Compare(e.Term, other.Term))
}

// Less reports whether e is before other.
func (e Epoch) Less(other Epoch) bool { return e.Compare(other) < 0 }

func tokenToWire(t fence.Token) *wire.Token {
	return &wire.Token{Generation: t.Generation, Term: t.Term, Seq: t.Seq}
}

func tokenFromWire(w *wire.Token) fence.Token {
	return fence.Token{Generation: w.GetGeneration(), Term: w.GetTerm(), Seq: w.GetSeq()}
}
