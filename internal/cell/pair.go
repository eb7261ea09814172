package cell

import "github.com/sapphireplank/sapphireplank/internal/wire"

// Pair is the holder and successor of one term, with their arbiter.
type Pair struct {
	Epoch
	// Seq increases with each change of successor or arbiter within the term.
	Seq uint64
	// Holder decides ownership.
	Holder Member
	// Successor takes over from the holder. It is zero while the holder is solo.
	Successor Member
	// Arbiter decides between claims of the holder and the successor. It is zero while the holder is solo.
	Arbiter Member
	// ArbiterSeq is the value of Seq at which the arbiter was chosen. It distinguishes the register entries of an
	// arbiter that is chosen twice in a term.
	ArbiterSeq uint64
}

// newer reports whether p supersedes other.
func (p Pair) newer(other Pair) bool {
	if c := p.Epoch.Compare(other.Epoch); c != 0 {
		return c > 0
	}
	return p.Seq > other.Seq
}

func (p Pair) toWire() *wire.Pair {
	return &wire.Pair{
		Generation: p.Generation, Term: p.Term, Seq: p.Seq, ArbiterSeq: p.ArbiterSeq,
		Holder: p.Holder.toWire(), Successor: p.Successor.toWire(), Arbiter: p.Arbiter.toWire(),
	}
}

func pairFromWire(w *wire.Pair) Pair {
	return Pair{
		Epoch: Epoch{Generation: w.GetGeneration(), Term: w.GetTerm()}, Seq: w.GetSeq(), ArbiterSeq: w.GetArbiterSeq(),
		Holder: memberFromWire(w.GetHolder()), Successor: memberFromWire(w.GetSuccessor()), Arbiter: memberFromWire(w.GetArbiter()),
	}
}
