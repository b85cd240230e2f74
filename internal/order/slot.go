package order

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Slots is the number of order streams. It is part of the log format: changing it
// maps keys to other streams.
const Slots = 16

// Slot is the number of an order stream, from 0 to Slots-1.
type Slot int

// SlotOf returns the slot of a key.
func SlotOf(key Key) Slot {
	return Slot(keyHash(key) % Slots)
}

func keyHash(key Key) uint64 {
	return xxhash.Sum64String(string(key))
}

// StreamName returns the name of a slot's stream.
func StreamName(slot Slot) string {
	return fmt.Sprintf("orders.%d", slot)
}
