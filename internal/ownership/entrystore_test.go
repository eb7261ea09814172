package ownership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/directory"
)

const (
	// reportInterval is the time between two writes of a server's entry.
	reportInterval = time.Second
	// entryTTL is how long an entry stays that is not written again.
	entryTTL = 3 * time.Second
	// planInterval is the time between two plans of a process.
	planInterval = 300 * time.Millisecond
)

// entryStore holds the entries of servers. It may carry out a write late and more than once.
type entryStore struct {
	current map[string]storedEntry
	// log are all changes in the order in which they were made.
	log []entryChange
}

type storedEntry struct {
	server    directory.Server
	expiresAt time.Duration
}

type entryChange struct {
	server  directory.Server
	deleted bool
}

func newEntryStore() *entryStore { return &entryStore{current: make(map[string]storedEntry)} }

func (e *entryStore) put(now time.Duration, server directory.Server) {
	e.current[server.ID] = storedEntry{server: server, expiresAt: now + entryTTL}
	e.log = append(e.log, entryChange{server: server})
}

// expire removes the entries that were not written again.
func (e *entryStore) expire(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(e.current)) {
		if stored := e.current[id]; now >= stored.expiresAt {
			delete(e.current, id)
			e.log = append(e.log, entryChange{server: stored.server, deleted: true})
		}
	}
}

// follower is what a process knows of the servers.
type follower struct {
	directory *directory.Directory
	// read is the number of changes that have been applied.
	read       int
	nextPlanAt time.Duration
}

// newFollower returns a follower that has listed the store.
func newFollower(now time.Duration, store *entryStore) *follower {
	f := &follower{directory: directory.New(), read: len(store.log)}
	var servers []directory.Server
	for _, id := range slices.Sorted(maps.Keys(store.current)) {
		servers = append(servers, store.current[id].server)
	}
	f.directory.Replace(now, now, servers)
	return f
}

// apply applies a change as the control plane does, and tells the assigner of a restart.
func (f *follower) apply(now time.Duration, a *Assigner, change entryChange) {
	if change.deleted {
		f.directory.Remove(now, change.server.ID)
		return
	}
	if previous, restarted := f.directory.Restarted(now, change.server); restarted {
		a.MarkRestarted(holderOfEntry(previous), holderOfEntry(change.server))
	}
	f.directory.Put(now, now, change.server)
}

func holderOfEntry(s directory.Server) Holder {
	return Holder{ID: s.ID, StartedAtMs: s.StartedAtMs, Addr: s.Addr}
}

// candidates returns the servers that a process takes for running.
func (p *simProcess) candidates() []Holder {
	var holders []Holder
	for _, server := range p.follower.directory.Servers() {
		if holder := holderOfEntry(server.Server); !p.assigner.HasTerminated(holder) {
			holders = append(holders, holder)
		}
	}
	slices.SortFunc(holders, func(a, b Holder) int { return cmp.Compare(a.ID, b.ID) })
	return holders
}

// writeEntry lets a server write its entry. The store may carry out the write late, and once more.
func (h *history) writeEntry(s *simServer) {
	s.sequence++
	server := directory.Server{ID: s.holder.ID, StartedAtMs: s.holder.StartedAtMs, Addr: s.holder.Addr, Sequence: s.sequence}
	write := func() { h.entries.put(h.now, server) }
	if h.faultOccurs() {
		h.schedule(h.randomDelay(maxLateness), write)
	}
	if h.faultOccurs() {
		h.schedule(h.randomDelay(maxLateness), write)
		return
	}
	write()
}

// restartWithEntry replaces a server by a new incarnation, at the same or at the server's other address.
func (h *history) restartWithEntry(s *simServer) {
	s.up = false
	replacement := &simServer{
		holder:        Holder{ID: s.holder.ID, StartedAtMs: s.holder.StartedAtMs + 1, Addr: fmt.Sprint(s.holder.ID, "/", h.random.IntN(2))},
		up:            true,
		startedAt:     h.now,
		highestTokens: make(map[int]Token),
	}
	h.servers = append(h.servers, replacement)
	h.writeEntry(replacement)
	replacement.nextReport = h.now + reportInterval
}

// advanceEntries lets servers report, and processes read and plan.
func (h *history) advanceEntries() {
	for _, s := range h.servers {
		if s.up && h.now >= s.nextReport {
			s.nextReport = h.now + reportInterval
			h.writeEntry(s)
		}
	}
	h.entries.expire(h.now)
	for _, term := range slices.Sorted(maps.Keys(h.processes)) {
		p := h.processes[term]
		if h.faultOccurs() {
			// The process reads the changes later.
			continue
		}
		for ; p.follower.read < len(h.entries.log); p.follower.read++ {
			p.follower.apply(h.now, p.assigner, h.entries.log[p.follower.read])
		}
		p.follower.directory.Expire(h.now, h.now)
		if term == h.term && h.now >= p.follower.nextPlanAt {
			p.follower.nextPlanAt = h.now + planInterval
			h.planMoves(p)
		}
	}
}

// planMoves moves the keys whose owner the process does not take for running.
func (h *history) planMoves(p *simProcess) {
	candidates := p.candidates()
	if len(candidates) == 0 {
		return
	}
	table, _ := p.assigner.Table(h.now)
	for _, row := range table.Rows {
		if !slices.ContainsFunc(candidates, row.Owner.SameIncarnation) {
			p.assigner.Apply([]Move{{Keys: row.Keys, To: candidates[h.random.IntN(len(candidates))]}}, h.now)
		}
	}
	p.assigner.RefreshRows(6)
}
