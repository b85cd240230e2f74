package order

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// SlotCount is the number of order streams. It is part of the format of the
// log: changing it moves keys to other streams.
const SlotCount = 16

// Slot is the number of an order stream.
type Slot int

// SlotOf returns the slot of a key.
func SlotOf(key Key) Slot {
	return Slot(xxhash.Sum64String(string(key)) % SlotCount)
}

// StreamName returns the name of a slot's stream.
func StreamName(slot Slot) string {
	return fmt.Sprintf("orders.%d", slot)
}
