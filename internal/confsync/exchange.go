package confsync

import "time"

// exchangeState is the round of questions to other cells.
type exchangeState struct {
	next time.Duration
	// holders are the holders of other cells, as their gateways told.
	holders map[string]string
	// waiting are the cells that have not answered the last question.
	waiting map[string]bool
}

func newExchangeState() exchangeState {
	return exchangeState{holders: make(map[string]string), waiting: make(map[string]bool)}
}

// ownState returns the exchange that tells this gateway's state.
func (n *Node) ownState(reply bool) Exchange {
	return Exchange{State: n.State(), Cell: n.topology.Cell, Holder: n.topology.Holder, Reply: reply}
}

// stepExchange asks other cells. A gateway whose cell has no holder asks for itself, because the configuration that
// lets its cell recover reaches it in no other way.
func (n *Node) stepExchange(now time.Duration, out *Output) {
	if n.start.active || now < n.exchange.next {
		return
	}
	if !n.leads() && n.topology.Holder != "" {
		return
	}
	if n.exchange.next == 0 {
		// A random phase spreads the rounds of holders that started together.
		n.exchange.next = now + time.Duration(n.options.Random(int(ExchangeInterval)))
		return
	}
	n.exchange.next = now + ExchangeInterval
	n.askCells(out)
	if !n.leads() {
		n.tellNeighbours(out)
	}
}

func (n *Node) askCells(out *Output) {
	cells := n.topology.Cells
	picked := make([]int, 0, ExchangePeers)
	// Each try hits the own cell or a picked one at most ExchangePeers times in len(cells).
	for tries := 0; len(picked) < ExchangePeers && tries < 4*ExchangePeers && len(cells) > 1; tries++ {
		i := n.options.Random(len(cells))
		if cells[i].Name == n.topology.Cell || (len(picked) > 0 && picked[0] == i) {
			continue
		}
		picked = append(picked, i)
		n.askCell(cells[i], out)
	}
}

func (n *Node) askCell(cell Cell, out *Output) {
	if n.exchange.waiting[cell.Name] {
		delete(n.exchange.holders, cell.Name)
	}
	to, ok := n.exchange.holders[cell.Name]
	if !ok {
		to = cell.Hosts[n.options.Random(len(cell.Hosts))]
	}
	n.exchange.waiting[cell.Name] = true
	out.send(to, n.ownState(false))
}

func (n *Node) receiveExchange(now time.Duration, peer string, m Exchange, out *Output) {
	delete(n.exchange.waiting, m.Cell)
	if m.Holder != "" && m.Cell != n.topology.Cell {
		n.exchange.holders[m.Cell] = m.Holder
	}
	if !m.Reply {
		out.send(peer, n.ownState(true))
	}
	n.noteAnswer(peer, m.State)
	n.learnState(now, peer, m.State, out)
}
