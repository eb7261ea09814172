package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphireplank/sapphireplank/internal/store"
	"github.com/sapphireplank/sapphireplank/internal/wire"
)

// claimID identifies what a claim is for: the term, and the choice of the arbiter within it.
type claimID struct {
	Epoch
	arbiterSeq uint64
}

func (id claimID) compare(other claimID) int {
	return cmp.Or(id.Epoch.Compare(other.Epoch), cmp.Compare(id.arbiterSeq, other.arbiterSeq))
}

type registerEntry struct {
	id     claimID
	winner Member
}

// claimRegister is the state that an arbiter keeps for one cell: the winner for each of the latest claim IDs. Its
// format is the same for a gateway and for the store as arbiter.
type claimRegister struct {
	// floor is the greatest claim that was discarded. Claims up to it are refused, because their winner is no longer
	// known.
	floor   claimID
	entries []registerEntry
}

// decide returns the winner of id, which is the first claimant (A3), or the zero Member if the claim is too old to
// decide.
func (r *claimRegister) decide(id claimID, claimant Member) Member {
	for _, e := range r.entries {
		if e.id == id {
			return e.winner
		}
	}
	if id.compare(r.floor) <= 0 {
		return Member{}
	}
	r.entries = append(r.entries, registerEntry{id: id, winner: claimant})
	slices.SortFunc(r.entries, func(a, b registerEntry) int { return a.id.compare(b.id) })
	if len(r.entries) > maxRegisterEntries {
		r.floor = r.entries[0].id
		r.entries = r.entries[1:]
	}
	return claimant
}

// marshal encodes the register for the store.
func (r *claimRegister) marshal() []byte {
	w := &wire.ClaimRegister{Floor: entryToWire(registerEntry{id: r.floor})}
	for _, e := range r.entries {
		w.Entries = append(w.Entries, entryToWire(e))
	}
	// Marshal cannot fail: the message has no required fields and its strings are valid.
	value, _ := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	return value
}

func parseRegister(value []byte) (*claimRegister, error) {
	w := &wire.ClaimRegister{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, errors.Wrap(err, "parse claim register")
	}
	r := &claimRegister{floor: entryFromWire(w.Floor).id}
	for _, e := range w.Entries {
		r.entries = append(r.entries, entryFromWire(e))
	}
	return r, nil
}

func entryToWire(e registerEntry) *wire.ClaimEntry {
	return &wire.ClaimEntry{
		Generation: e.id.Generation, Term: e.id.Term, ArbiterSeq: e.id.arbiterSeq, Winner: e.winner.toWire(),
	}
}

func entryFromWire(w *wire.ClaimEntry) registerEntry {
	return registerEntry{
		id:     claimID{Epoch: Epoch{Generation: w.GetGeneration(), Term: w.GetTerm()}, arbiterSeq: w.GetArbiterSeq()},
		winner: memberFromWire(w.GetWinner()),
	}
}

// decideStoredClaim applies a claim to the register that the store holds for a cell. It returns the winner and the
// value to write, or a nil value if the register is unchanged.
func decideStoredClaim(value []byte, epoch Epoch, arbiterSeq uint64, claimant Member) (Member, []byte, error) {
	r, err := parseRegister(value)
	if err != nil {
		return Member{}, nil, err
	}
	winner := r.decide(claimID{Epoch: epoch, arbiterSeq: arbiterSeq}, claimant)
	if after := r.marshal(); string(after) != string(value) {
		return winner, after, nil
	}
	return winner, nil, nil
}

// onClaim decides a claim as arbiter. Receive has dropped claims addressed to another incarnation (A7).
func (n *Node) onClaim(from Member, epoch Epoch, c *wire.Claim) {
	r, ok := n.registers[c.Cell]
	if !ok {
		r = &claimRegister{}
		n.registers[c.Cell] = r
	}
	winner := r.decide(claimID{Epoch: epoch, arbiterSeq: c.ArbiterSeq}, from)
	if n.faults.grantEveryClaim {
		winner = from
	}
	n.sendAs(from, epoch, &wire.Control{Body: &wire.Control_Decision{
		Decision: &wire.Decision{ArbiterSeq: c.ArbiterSeq, Attempt: c.Attempt, Winner: winner.toWire()},
	}})
}

// claimInStore makes a claim with the store as arbiter. If the response to the write is lost, the next attempt reads
// the register and finds the decision.
func (n *Node) claimInStore(now time.Duration, epoch Epoch, arbiterSeq, attempt uint64) {
	n.storeGet(now, n.claimsKey(), func(now time.Duration, r StoreResult) {
		if r.Err != nil && !errors.Is(r.Err, store.ErrNotFound) {
			return
		}
		winner, value, err := decideStoredClaim(r.Entry.Value, epoch, arbiterSeq, n.self)
		if err != nil {
			n.event("cell/register-unreadable", "", err.Error())
			return
		}
		if value == nil {
			n.applyDecision(now, Member{Host: StoreArbiter}, epoch, arbiterSeq, attempt, winner)
			return
		}
		n.storeSwap(now, n.claimsKey(), r.Entry.Version, value, func(now time.Duration, r StoreResult) {
			if r.Err == nil {
				n.applyDecision(now, Member{Host: StoreArbiter}, epoch, arbiterSeq, attempt, winner)
			}
		})
	})
}
