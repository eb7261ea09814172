package controlcost

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
)

const (
	// replaceInterval is the interval between two replacements in one cell.
	replaceInterval = time.Minute
	// restartTime is the time between the end of a process and the start of the next one on the host.
	restartTime = 2 * time.Second
	// leftPoll is the interval at which a leaving process looks whether it has left.
	leftPoll = 20 * time.Millisecond
	// leftTimeout bounds the wait of a leaving process.
	leftTimeout = 10 * time.Second
)

// replaceMembers replaces one gateway of each cell per interval: planned, and in turn the holder and the others. The
// cells are spread over the interval.
func (f *fleet) replaceMembers() {
	cells := f.config.Cells()
	for i, name := range cells {
		hosts := f.config.CellHosts(name)
		f.after(replaceInterval*time.Duration(i)/time.Duration(len(cells))/2+time.Second, func() { f.replaceNext(name, len(hosts), 0) })
	}
}

func (f *fleet) replaceNext(cellName string, hosts, turn int) {
	f.after(replaceInterval, func() { f.replaceNext(cellName, hosts, turn+1) })
	for i, host := range f.config.CellHosts(cellName) {
		m := f.members[host.Name]
		isHolder := m.running && partOf(m.node.Role()) == partHolder
		if m.running && (turn%2 == 0 && isHolder || turn%2 == 1 && i == turn%hosts) {
			m.replace()
			return
		}
	}
}

// replace lets the process leave as planned and starts another one.
func (m *member) replace() {
	m.step(func(now time.Duration) cell.Output { return m.node.Leave(now) })
	m.awaitLeft(m.fleet.now + leftTimeout)
}

func (m *member) awaitLeft(deadline time.Duration) {
	if !m.node.HasLeft() && m.fleet.now < deadline {
		m.fleet.after(leftPoll, func() { m.awaitLeft(deadline) })
		return
	}
	if m.fleet.now >= deadline {
		m.fleet.stuck++
	}
	m.fleet.replaced++
	m.end()
	m.fleet.after(restartTime, m.start)
}
