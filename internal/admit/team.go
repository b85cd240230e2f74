package admit

// notQueued is the queue index of a ticket that left its queue without starting.
const notQueued = -1

// team holds the requests of one team in a pool.
type team struct {
	running     int
	queue       queue
	queueLength int
	credit      credit
}
