package balance

// RoundRobin is the baseline for comparisons: it takes the servers in turn.
type RoundRobin struct {
	names []string
	next  int
}

// NewRoundRobin returns a baseline that starts with the server at the given place.
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
