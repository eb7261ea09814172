package ownership

import "time"

// OrderKind is the kind of an order.
type OrderKind int

// Kinds of orders.
const (
	OrderGrant OrderKind = iota
	OrderRelease
	// OrderFence is a short grant to a former holder that makes it refuse further orders from earlier assigners. It is
	// followed by a release.
	OrderFence
)

// Order is a grant or a release for the caller to send. Its result must be passed to HandleResult.
type Order struct {
	Kind    OrderKind
	Grant   Grant
	Release Release
	// rowToken and keys identify the row to which the order belongs.
	rowToken Token
	keys     Keys
	// sentAt is when DueOrders returned the order. heldBefore is when the earlier grants to the same owner expire.
	sentAt     time.Duration
	heldBefore time.Duration
}

// Receiver returns the holder to which the order is sent.
func (o Order) Receiver() Holder {
	if o.Kind == OrderRelease {
		return o.Release.Server
	}
	return o.Grant.Server
}

// Result is the result of an order.
type Result struct {
	Order Order
	Answer
	Err error
	At  time.Duration
}

// DueOrders returns the orders that are due. Orders about a row are withheld until its last change has been recorded.
func (a *Assigner) DueOrders(now time.Duration) []Order {
	var orders []Order
	for _, r := range a.rows {
		if r.changeSeq > a.recordedSeq || r.owner.IsZero() {
			continue
		}
		if r.moving {
			orders = append(orders, a.dueReleases(r, now)...)
		}
		if grant, due := a.dueGrant(r, now); due {
			orders = append(orders, grant)
		}
	}
	return orders
}

// dueReleases returns the releases, and the fencing grants that precede them, that are due for a moving row.
func (a *Assigner) dueReleases(r *rowState, now time.Duration) []Order {
	var orders []Order
	for _, g := range r.formerGrants {
		if g.holder.IsZero() || g.released || g.inFlight || now < g.nextSend || g.resolved(now) || g.holder.SameIncarnation(r.owner) {
			continue
		}
		if g.unfenced && !a.canFence(r, g, now) {
			continue
		}
		g.inFlight = true
		order := Order{rowToken: r.token, keys: r.keys, sentAt: now}
		if g.unfenced {
			order.Kind = OrderFence
			order.Grant = Grant{Server: g.holder, Keys: r.keys, Token: g.token, Duration: fenceDuration}
		} else {
			order.Kind = OrderRelease
			order.Release = Release{Server: g.holder, Keys: r.keys, Token: g.token}
		}
		orders = append(orders, order)
	}
	return orders
}

// canFence reports whether a fencing grant may be sent to a former holder. Like any grant it must wait for other
// holders, and it must not outlast the grants that it is meant to end.
func (a *Assigner) canFence(r *rowState, g *formerGrant, now time.Duration) bool {
	if g.heldUntil < now+a.settings.maxFenceDuration() {
		return false
	}
	if r.inherited && now < r.heldUntil {
		// An earlier assigner may already have granted the keys to their new owner.
		return false
	}
	for _, other := range r.formerGrants {
		if !other.holder.SameIncarnation(g.holder) && !other.resolved(now) {
			return false
		}
	}
	return true
}

// dueGrant returns the first grant or the renewal for the owner of a row, if it is due.
func (a *Assigner) dueGrant(r *rowState, now time.Duration) (Order, bool) {
	if r.inFlight || r.tokenOutdated || now < r.nextSend || r.heldByFormer(now) || a.HasTerminated(r.owner) {
		return Order{}, false
	}
	r.inFlight = true
	order := Order{Kind: OrderGrant, rowToken: r.token, keys: r.keys, sentAt: now, heldBefore: r.heldUntil}
	// Until the result is known, assume that the grant arrives at the last possible moment.
	end := now + a.settings.OrderTimeout + a.settings.maxHold()
	r.heldUntil = max(r.heldUntil, end)
	order.Grant = Grant{Server: r.owner, Keys: r.keys, Token: r.token, Duration: a.settings.GrantDuration}
	if r.moving {
		order.Grant.Handover = r.handover()
	}
	return order, true
}

// HandleResult processes the result of an order.
func (a *Assigner) HandleResult(result Result) {
	r := a.findRow(result.Order.keys, result.Order.rowToken)
	if r == nil {
		return
	}
	switch result.Order.Kind {
	case OrderRelease:
		a.handleReleaseResult(r, result)
	case OrderFence:
		a.handleFenceResult(r, result)
	default:
		a.handleGrantResult(r, result)
	}
}
