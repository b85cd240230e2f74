package keyed

// offsetBits is the number of low bits of an ordinal that hold the offset.
const offsetBits = 32

// Position is the place of a record in the history of a topic. When the store comes back
// from an older copy of itself, it forgets the newest records and assigns their offsets
// again: an offset identifies a record only together with the era of the store.
type Position struct {
	Era    uint64 // number of times that the store has come back from a copy
	Offset uint64
}

// Ordinal returns a number that orders positions by era, then by offset. In era 0 it is the
// offset. Offsets are below 2^32.
func (p Position) Ordinal() uint64 { return p.Era<<offsetBits | p.Offset }

// EraOf returns the era of the position with an ordinal.
func EraOf(ordinal uint64) uint64 { return ordinal >> offsetBits }

// PositionOf returns the position with an ordinal.
func PositionOf(ordinal uint64) Position {
	return Position{Era: EraOf(ordinal), Offset: ordinal & (1<<offsetBits - 1)}
}
