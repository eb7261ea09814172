package ownership

import "time"

// OrderKind says what an order asks for.
type OrderKind int

// Kinds of orders.
const (
	OrderGrant OrderKind = iota
	OrderRelease
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

// Step returns the orders that are due. Orders about a row wait until its last change is recorded.
func (a *Assigner) Step(now time.Duration) []Order {
	var orders []Order
	for _, r := range a.rows {
		if r.changed > a.recorded || r.owner.None() {
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
		if g.released || g.sending || now < g.nextTry || g.clear(now) || g.holder.Same(r.owner) {
			continue
		}
		g.sending = true
		orders = append(orders, Order{
			Kind:    OrderRelease,
			Release: Release{Server: g.holder, Keys: r.keys, Token: g.token},
			row:     r.token,
			keys:    r.keys,
			sentAt:  now,
		})
	}
	return orders
}

// grant returns the first grant or the renewal of a row, if it is due.
func (a *Assigner) grant(r *rowState, now time.Duration) (Order, bool) {
	if r.sending || r.stale || now < r.nextSend || r.guarded(now) || a.hasEnded(r.owner) {
		return Order{}, false
	}
	r.sending = true
	// Until the answer is known, the grant counts as arrived at the last possible moment.
	end := now + a.settings.OrderTimeout + a.settings.heldFor()
	r.heldUntil = max(r.heldUntil, end)
	grant := Grant{Server: r.owner, Keys: r.keys, Token: r.token, Hold: a.settings.Hold}
	if r.moving {
		grant.Handover = r.handover()
	}
	return Order{Kind: OrderGrant, Grant: grant, row: r.token, keys: r.keys, sentAt: now}, true
}

// Done takes the result of an order.
func (a *Assigner) Done(result Result) {
	r := a.findRow(result.Order.keys, result.Order.row)
	if r == nil {
		return
	}
	if result.Order.Kind == OrderRelease {
		a.releaseDone(r, result)
		return
	}
	a.grantDone(r, result)
}
