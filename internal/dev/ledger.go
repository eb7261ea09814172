package dev

import "sync"

// Ledger collects the records of all callers of a deployment.
type Ledger struct {
	// mu protects the fields below.
	mu   sync.Mutex
	list []Record
}

// Add appends one record.
func (l *Ledger) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

// All returns a copy of the records.
func (l *Ledger) All() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.list...)
}
