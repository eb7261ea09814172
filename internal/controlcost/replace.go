package controlcost

import (
	"time"

	"github.com/sapphireplank/sapphireplank/internal/cell"
)

const (
	// replaceInterval is the interval between two replacements in one cell.
	replaceInterval = time.Minute
	// restartDelay is the time between the end of a process and the start of the next one on the same host.
	restartDelay = 2 * time.Second
	// leavePollInterval is the interval at which a leaving process checks whether it has left.
	leavePollInterval = 20 * time.Millisecond
	// leaveTimeout limits the time that a process waits until it has left its cell.
	leaveTimeout = 10 * time.Second
)

// scheduleReplacements schedules one planned replacement per cell and interval, alternately of the holder and of the
// next host in order. The first replacements of the cells are spread over half of the interval.
func (f *fleet) scheduleReplacements() {
	cells := f.config.Cells()
	for i, name := range cells {
		hosts := f.config.CellHosts(name)
		f.after(replaceInterval*time.Duration(i)/time.Duration(len(cells))/2+time.Second, func() { f.replaceNext(name, len(hosts), 0) })
	}
}

func (f *fleet) replaceNext(cellName string, hosts, round int) {
	f.after(replaceInterval, func() { f.replaceNext(cellName, hosts, round+1) })
	for i, host := range f.config.CellHosts(cellName) {
		m := f.members[host.Name]
		isHolder := m.running && roleOf(m.node.Role()) == roleHolder
		if m.running && (round%2 == 0 && isHolder || round%2 == 1 && i == round%hosts) {
			m.replace()
			return
		}
	}
}

// replace performs a planned stop of the process and starts a new one.
func (m *member) replace() {
	m.step(func(now time.Duration) cell.Output { return m.node.Leave(now) })
	m.awaitLeave(m.fleet.now + leaveTimeout)
}

func (m *member) awaitLeave(deadline time.Duration) {
	if !m.node.HasLeft() && m.fleet.now < deadline {
		m.fleet.after(leavePollInterval, func() { m.awaitLeave(deadline) })
		return
	}
	if m.fleet.now >= deadline {
		m.fleet.leaveTimeouts++
	}
	m.fleet.replaced++
	m.terminate()
	m.fleet.after(restartDelay, m.start)
}
