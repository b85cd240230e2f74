package reach

import "time"

// failure is the first failure of an endpoint since the last contact with any.
type failure struct {
	at      time.Time
	connect bool // no connection was made; otherwise a connection brought no answer
}
