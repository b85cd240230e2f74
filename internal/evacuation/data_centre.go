package evacuation

import "time"

// dataCentre is what a daemon knows of one data centre.
type dataCentre struct {
	statement
	changedAt   time.Time // when this daemon learnt of the latest start or end; zero: of none
	withdrawnAt time.Time // when this daemon learnt of the latest end; zero: of none
	source      Source    // of the latest start or end
	// pending is what the copy says from which the store was restored, if it contradicts what the
	// daemon knows. It holds from pendingUntil on.
	pending      *statement
	pendingUntil time.Time
	// unconfirmed marks what this daemon learnt from another one against the copy that it started with.
	// It is not told: daemons that start one after the other would keep it alive.
	unconfirmed bool
}
