package ledger

import "fmt"

// EraChangedError reports that records were appended after the store had come back from an
// older copy, so that the state that they were planned on was void. They grant nothing until
// they are written again.
type EraChangedError struct {
	Planned uint64 // era of the state that the records were planned on
	Era     uint64 // era in which they were appended
}

// Error implements error.
func (e *EraChangedError) Error() string {
	return fmt.Sprintf("group records of era %d were appended in era %d of the store", e.Planned, e.Era)
}
