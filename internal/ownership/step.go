package ownership

import "time"

// OrderKind says what an order asks for.
type OrderKind int

// Kinds of orders.
const (
	OrderGrant OrderKind = iota
	OrderRelease
	// OrderFence is a grant to a former holder that makes it refuse what an earlier assigner still sends. Its release
	// follows.
	OrderFence
)

// Order is a grant or a release to send. Its result goes back to the assigner.
type Order struct {
	Kind    OrderKind
	Grant   Grant
	Release Release
	// row is the token of the row that the order belongs to.
	row  Token
	keys Keys
	// sentAt is when the order was handed out.
	sentAt time.Duration
}

// Result is the outcome of an order.
type Result struct {
	Order    Order
	Handover string
	Err      error
	At       time.Duration
}

// DueOrders returns the orders that are due. Orders about a row wait until its last change is recorded.
func (a *Assigner) DueOrders(now time.Duration) []Order {
	var orders []Order
	for _, r := range a.rows {
		if r.changed > a.recorded || r.owner.IsZero() {
			continue
		}
		if r.moving {
			orders = append(orders, a.releases(r, now)...)
		}
		if grant, due := a.grant(r, now); due {
			orders = append(orders, grant)
		}
	}
	return orders
}

// releases returns the releases that the row waits for.
func (a *Assigner) releases(r *rowState, now time.Duration) []Order {
	var orders []Order
	for _, g := range r.guards {
		if g.released || g.sending || now < g.nextTry || g.clear(now) || g.holder.SameIncarnation(r.owner) {
			continue
		}
		if g.unfenced && !a.mayFence(r, g, now) {
			continue
		}
		g.sending = true
		order := Order{row: r.token, keys: r.keys, sentAt: now}
		if g.unfenced {
			order.Kind = OrderFence
			order.Grant = Grant{Server: g.holder, Keys: r.keys, Token: g.token, Duration: fenceHold}
		} else {
			order.Kind = OrderRelease
			order.Release = Release{Server: g.holder, Keys: r.keys, Token: g.token}
		}
		orders = append(orders, order)
	}
	return orders
}

// mayFence reports whether a former holder may get the short grant that makes it refuse earlier ones. Like any grant it
// has to wait for other holders, and it must not last longer than what it is to end.
func (a *Assigner) mayFence(r *rowState, g *guard, now time.Duration) bool {
	if g.heldUntil < now+a.settings.fenceSpan() {
		return false
	}
	if r.inherited && now < r.heldUntil {
		// An earlier assigner may have granted the keys to their new owner already.
		return false
	}
	for _, other := range r.guards {
		if !other.holder.SameIncarnation(g.holder) && !other.clear(now) {
			return false
		}
	}
	return true
}

// grant returns the first grant or the renewal of a row, if it is due.
func (a *Assigner) grant(r *rowState, now time.Duration) (Order, bool) {
	if r.sending || r.stale || now < r.nextSend || r.guarded(now) || a.HasTerminated(r.owner) {
		return Order{}, false
	}
	r.sending = true
	// Until the answer is known, the grant counts as arrived at the last possible moment.
	end := now + a.settings.OrderTimeout + a.settings.heldFor()
	r.heldUntil = max(r.heldUntil, end)
	grant := Grant{Server: r.owner, Keys: r.keys, Token: r.token, Duration: a.settings.GrantDuration}
	if r.moving {
		grant.Handover = r.handover()
	}
	return Order{Kind: OrderGrant, Grant: grant, row: r.token, keys: r.keys, sentAt: now}, true
}

// HandleResult takes the result of an order.
func (a *Assigner) HandleResult(result Result) {
	r := a.findRow(result.Order.keys, result.Order.row)
	if r == nil {
		return
	}
	switch result.Order.Kind {
	case OrderRelease:
		a.releaseDone(r, result)
	case OrderFence:
		a.fenceDone(r, result)
	default:
		a.grantDone(r, result)
	}
}
