package admission

const (
	// urgentHeadroom is the part of the slots that more urgent requests would use of a full server that is kept free for
	// them.
	urgentHeadroom = 0.5
	// lateHeadroom is the part of the slots of a server that a request which misses its latency objective anyway leaves
	// free for one that can meet it.
	lateHeadroom = 0.2
)

// Headroom returns the part of the slots of a server that a request leaves free for others. It makes gateways that know
// nothing of each other's requests serve them in the same order: the fuller a server, the more a request has to be urgent and
// in time. moreUrgent is the share of the demand that is more urgent; late is set if the request misses its objective anyway.
func Headroom(moreUrgent float64, late bool) float64 {
	headroom := urgentHeadroom * moreUrgent
	if late {
		headroom += lateHeadroom
	}
	return headroom
}
