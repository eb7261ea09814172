package timeline

// ring is a circular buffer of the most recent records.
type ring struct {
	records []Record
	next    int
	full    bool
}

func newRing(size int) *ring {
	return &ring{records: make([]Record, size)}
}

func (r *ring) add(record Record) {
	if len(r.records) == 0 {
		return
	}
	r.records[r.next] = record
	r.next++
	if r.next == len(r.records) {
		r.next = 0
		r.full = true
	}
}

// matching returns the records that match filter, oldest first.
func (r *ring) matching(filter *Filter) []Record {
	var found []Record
	if r.full {
		found = appendMatches(found, r.records[r.next:], filter)
	}
	return appendMatches(found, r.records[:r.next], filter)
}

func appendMatches(matched, records []Record, filter *Filter) []Record {
	for i := range records {
		if filter.Match(&records[i]) {
			matched = append(matched, records[i])
		}
	}
	return matched
}
