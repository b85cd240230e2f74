package admit

// gone is the place of a ticket that left its queue without starting.
const gone = -1

// team is the requests of one team in a pool.
type team struct {
	running     int
	queue       queue
	queueLength int
	credit      credit
}
