package formation

// Absence is the probe result for a group member that has no registry entry.
type Absence struct {
	Born  int64 // start time of the granted incarnation, Unix milliseconds
	State AbsenceState
}

// AbsenceState says whether a member without a registry entry is still running.
type AbsenceState int

// States of a member without a registry entry.
const (
	Unconfirmed  AbsenceState = iota // unknown: no member of its group has answered a probe
	Alive                            // answers probes, so only its connection to the store is down
	Unresponsive                     // does not answer although another member of its group does
)

// String returns the name of the state as used in logs.
func (s AbsenceState) String() string {
	return [...]string{"asked", "alive", "silent"}[s]
}
