package awake

import "time"

// limit is a time limit that is looked at until it has passed.
type limit interface{ Passed(now time.Time) bool }
