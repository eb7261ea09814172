package cell

// moving reports whether a partition or hot key is between two owners.
func (t *table) moving() bool {
	for _, s := range t.services {
		for i := range s.owners {
			if s.owners[i].Releasing {
				return true
			}
		}
		for _, owner := range s.hot {
			if owner.Releasing {
				return true
			}
		}
	}
	return false
}
