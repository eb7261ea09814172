package confsync

import "time"

// exchangeState is the state of the periodic exchange with other cells.
type exchangeState struct {
	nextRound time.Duration
	// holders maps other cells to their holders, as last reported by their gateways.
	holders map[string]string
	// unanswered contains the cells that have not responded to the last query.
	unanswered map[string]bool
}

func newExchangeState() exchangeState {
	return exchangeState{holders: make(map[string]string), unanswered: make(map[string]bool)}
}

// newExchange returns an exchange message with the state of this gateway.
func (n *Node) newExchange(reply bool) Exchange {
	return Exchange{State: n.State(), Cell: n.topology.Cell, Holder: n.topology.Holder, Reply: reply}
}

// stepExchange queries other cells when a round is due. Normally only the holder does so. In a cell without a holder,
// each gateway does, because no holder passes on the configuration that lets the cell recover.
func (n *Node) stepExchange(now time.Duration, out *Output) {
	if n.start.active || now < n.exchange.nextRound {
		return
	}
	if !n.isHolder() && n.topology.Holder != "" {
		return
	}
	if n.exchange.nextRound == 0 {
		// The random offset spreads the rounds of holders that started at the same time.
		n.exchange.nextRound = now + time.Duration(n.options.Random(int(ExchangeInterval)))
		return
	}
	n.exchange.nextRound = now + ExchangeInterval
	n.queryCells(out)
	if !n.isHolder() {
		n.notifyNeighbours(out)
	}
}

func (n *Node) queryCells(out *Output) {
	cells := n.topology.Cells
	selected := make([]int, 0, ExchangeFanout)
	// A draw of this cell or of a selected one is discarded. Its probability is at most ExchangeFanout/len(cells).
	for draws := 0; len(selected) < ExchangeFanout && draws < 4*ExchangeFanout && len(cells) > 1; draws++ {
		i := n.options.Random(len(cells))
		if cells[i].Name == n.topology.Cell || (len(selected) > 0 && selected[0] == i) {
			continue
		}
		selected = append(selected, i)
		n.queryCell(cells[i], out)
	}
}

func (n *Node) queryCell(cell Cell, out *Output) {
	if n.exchange.unanswered[cell.Name] {
		delete(n.exchange.holders, cell.Name)
	}
	to, ok := n.exchange.holders[cell.Name]
	if !ok {
		to = cell.Hosts[n.options.Random(len(cell.Hosts))]
	}
	n.exchange.unanswered[cell.Name] = true
	out.send(to, n.newExchange(false))
}

func (n *Node) receiveExchange(now time.Duration, peer string, m Exchange, out *Output) {
	delete(n.exchange.unanswered, m.Cell)
	if m.Holder != "" && m.Cell != n.topology.Cell {
		n.exchange.holders[m.Cell] = m.Holder
	}
	if !m.Reply {
		out.send(peer, n.newExchange(true))
	}
	n.recordPeerResponse(peer, m.State)
	n.handlePeerState(now, peer, m.State, out)
}
