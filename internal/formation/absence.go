package formation

// Absence is what is known of a member whose entry is missing from the store.
type Absence struct {
	Born  int64 // the life that was granted, Unix milliseconds
	State AbsenceState
}

// AbsenceState says whether such a member still works.
type AbsenceState int

// States of an absence.
const (
	Asked  AbsenceState = iota // it has not answered yet, nor failed to
	Alive                      // it answers, so that only its way to the store is cut
	Silent                     // it does not answer, or lives another life
)
