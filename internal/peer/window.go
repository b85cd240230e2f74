package peer

const windowBits = 64

// window remembers which of the newest sequence numbers of one publisher were
// seen.
type window struct {
	highest uint64
	seen    uint64 // bit i: highest-i was seen
}

// admit reports whether a sequence number is new. One too old to tell is not.
func (w *window) admit(sequence uint64) bool {
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
