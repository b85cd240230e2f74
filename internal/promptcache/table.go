package promptcache

// tableSlots is the number of blocks that a table can hold. It is a power of 2.
const tableSlots = 2048

// table is a hash table with one slot for each hash. Readers take no lock.
type table struct {
	slots [tableSlots]slot
}

func (t *table) slot(block uint64) *slot {
	return &t.slots[block%tableSlots]
}
