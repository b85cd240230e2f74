package promptcache

// tableSlots is the number of blocks that a table can hold, a power of 2.
const tableSlots = 2048

// table is a direct-mapped hash table. Reads are lock-free.
type table struct {
	slots [tableSlots]slot
}

func (t *table) slot(block uint64) *slot {
	return &t.slots[block%tableSlots]
}
