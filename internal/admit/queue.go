package admit

// queue holds the waiting requests of one team, ordered by deadline. It implements
// heap.Interface.
type queue []*Ticket

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool { return q[i].Deadline.Before(q[j].Deadline) }

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	ticket := x.(*Ticket)
	ticket.queueIndex = len(*q)
	*q = append(*q, ticket)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// countBefore returns the number of requests with an earlier deadline than t.
func (q queue) countBefore(t *Ticket) int {
	count := 0
	for _, other := range q {
		if other.Deadline.Before(t.Deadline) {
			count++
		}
	}
	return count
}
