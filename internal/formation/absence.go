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
	Asked  AbsenceState = iota // nothing is known: no member of its group has answered
	Alive                      // it answers, so that only its way to the store is cut
	Silent                     // it does not answer though another member of its group does
)

// String returns the name of the state in logs.
func (s AbsenceState) String() string {
	return [...]string{"asked", "alive", "silent"}[s]
}
