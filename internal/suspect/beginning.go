package suspect

import "time"

// beginningPeriod is how long after its first output an attempt may still crash its group by
// beginning to write: longer than a pass of an engine.
const beginningPeriod = 250 * time.Millisecond

// Beginning reports whether an attempt whose first output came at a time, zero if there was none,
// is still at its beginning. Later on its prompt is no cause of a crash.
func Beginning(firstAt, now time.Time) bool {
	return firstAt.IsZero() || now.Sub(firstAt) < beginningPeriod
}
