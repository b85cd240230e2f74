package gateway

import (
	"sync"
	"time"
)

// unknownTargetTime is how long a target that a dispatcher has named and this daemon does not know is
// excluded. Daemons learn of a group within some 0.5 s of each other.
const unknownTargetTime = time.Second

// unknownTargets are the targets that dispatchers have named lately and that this daemon does not
// know: the view of a dispatcher may be newer. It holds one entry for each of them, for a second. The
// zero value is ready for use. It is safe for concurrent use.
type unknownTargets struct {
	mu    sync.Mutex
	until map[unknownTarget]time.Time
}

// add records a target that is not known, and reports whether it was not recorded yet.
func (u *unknownTargets) add(target unknownTarget, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[unknownTarget]time.Time{}
	}
	_, recorded := u.until[target]
	u.until[target] = now.Add(unknownTargetTime)
	return !recorded
}

// keys returns the keys of the recorded targets of a model, and forgets those whose time is over or
// that are known by now.
func (u *unknownTargets) keys(model dispatchModel, known func(target unknownTarget) bool, now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var keys []string
	for target, until := range u.until {
		switch {
		case !now.Before(until) || target.model == model && known(target):
			delete(u.until, target)
		case target.model == model:
			keys = append(keys, target.key)
		}
	}
	return keys
}
