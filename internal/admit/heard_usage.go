package admit

import (
	"time"
)

// askAfter is how long a peer may use another version of the configuration, or
// an answer of it may take, before it is asked for its whole usage.
const askAfter = time.Second

// heardUsage is the use of capacity that a peer told.
type heardUsage struct {
	at      time.Time
	usage   map[demandKey]TeamUsage
	numbers *usageNumbers
	inStep  time.Time // when usage last was what the peer had told
	asked   time.Time
}

// apply takes in an update and reports whether the whole usage has to be asked
// for: changes were lost, or this daemon cannot read the numbers for some time.
func (h *heardUsage) apply(update usageUpdate, numbers *usageNumbers, now time.Time) (ask bool) {
	h.at = now
	if h.numbers != numbers {
		h.numbers = numbers
		numbers.prune(h.usage)
	}
	readable := update.Version == numbers.version
	if readable {
		h.change(update.Changes)
	}
	if digestOf(h.usage) == update.Digest {
		h.inStep = now
		return false
	}
	ask = now.Sub(h.asked) >= askAfter && (readable || now.Sub(h.inStep) >= askAfter)
	if ask {
		h.asked = now
	}
	return ask
}

func (h *heardUsage) change(changes []byte) {
	reader := changeReader{data: changes}
	for {
		number, usage, ok := reader.next()
		if !ok {
			return
		}
		key, ok := h.numbers.key(number)
		switch {
		case !ok:
		case usage.Running+usage.Waiting == 0:
			delete(h.usage, key)
		default:
			h.usage[key] = usage
		}
	}
}
