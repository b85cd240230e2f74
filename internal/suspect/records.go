package suspect

// records holds the record of each trait.
type records map[Trait]record

// dropOldest keeps the newest maxRecords.
func (r records) dropOldest() {
	for len(r) > maxRecords {
		var oldest Trait
		found := false
		for trait, entry := range r {
			if !found || entry.last.Before(r[oldest].last) {
				oldest, found = trait, true
			}
		}
		delete(r, oldest)
	}
}
