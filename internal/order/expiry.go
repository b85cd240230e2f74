package order

import "container/heap"

// expiry is the time at which a key may be dropped.
type expiry struct {
	millis int64 // stream time, Unix milliseconds
	key    Key
}

// expiries is a min-heap of keys ordered by expiry time. It holds a key that was
// claimed again more than once; an entry is ignored if the key's record expires
// later.
type expiries []expiry

// Len implements heap.Interface.
func (e expiries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiries) Less(i, j int) bool { return e[i].millis < e[j].millis }

// Swap implements heap.Interface.
func (e expiries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = expiry{}
	*e = (*e)[:last]
	return popped
}

func (e *expiries) add(key Key, millis int64) {
	heap.Push(e, expiry{millis: millis, key: key})
}

// popDue removes and returns the next entry that expires at or before now.
func (e *expiries) popDue(now int64) (expiry, bool) {
	if len(*e) == 0 || (*e)[0].millis > now {
		return expiry{}, false
	}
	return heap.Pop(e).(expiry), true
}
