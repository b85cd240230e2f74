package order

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Kinds of records of an order stream.
const (
	KindClaim   logstream.Kind = "claim"
	KindOutcome logstream.Kind = "outcome"
)

// Slots is the number of order streams. It is part of the format of the log:
// changing it moves keys to other streams.
const Slots = 16

// Slot is the number of an order stream.
type Slot int

// SlotOf returns the slot of a key.
func SlotOf(key Key) Slot {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(key))
	return Slot(digest.Sum64() % Slots)
}

// StreamName returns the name of a slot's stream.
func StreamName(slot Slot) string {
	return fmt.Sprintf("orders.%d", slot)
}
