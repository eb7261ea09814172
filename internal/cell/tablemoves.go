package cell

// hasMoveInProgress reports whether a partition or hot key is being released by its owner.
func (t *table) hasMoveInProgress() bool {
	for _, s := range t.services {
		for i := range s.owners {
			if s.owners[i].Releasing {
				return true
			}
		}
		for _, owner := range s.hotKeys {
			if owner.Releasing {
				return true
			}
		}
	}
	return false
}
