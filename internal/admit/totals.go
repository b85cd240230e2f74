package admit

// Totals returns the number of running and of waiting requests of all teams on this daemon.
func (g *Gate) Totals() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, pool := range g.state.pools {
		running += pool.running
		waiting += pool.waiting
	}
	return running, waiting
}

// Slots returns the number of requests, for all models, that may run at once on this daemon.
func (g *Gate) Slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := 0
	for _, pool := range g.state.pools {
		slots += pool.allowed.Slots
	}
	return slots
}
