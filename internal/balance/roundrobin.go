package balance

// RoundRobin picks servers in turn. It is the baseline against which Balancer is compared.
type RoundRobin struct {
	names []string
	next  int
}

// NewRoundRobin returns a RoundRobin whose first pick is the server at index start.
func NewRoundRobin(names []string, start int) *RoundRobin {
	return &RoundRobin{names: names, next: start}
}

// Pick returns the next server, or false if there is none.
func (r *RoundRobin) Pick() (string, bool) {
	if len(r.names) == 0 {
		return "", false
	}
	name := r.names[r.next%len(r.names)]
	r.next++
	return name, true
}
