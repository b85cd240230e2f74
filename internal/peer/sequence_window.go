package peer

const windowBits = 64

// sequenceWindow records which of the last windowBits sequence numbers of one
// publisher have been seen.
type sequenceWindow struct {
	highest uint64
	seen    uint64 // bit i: highest-i was seen
}

// admit records a sequence number and reports whether it is new. A number older
// than the window is treated as seen.
func (w *sequenceWindow) admit(sequence uint64) bool {
	if sequence > w.highest {
		shift := sequence - w.highest
		w.seen <<= min(shift, windowBits)
		w.seen |= 1
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= windowBits {
		return false
	}
	bit := uint64(1) << age
	if w.seen&bit != 0 {
		return false
	}
	w.seen |= bit
	return true
}
