package admit

// Totals returns the requests of all teams that run and that wait here.
func (g *Gate) Totals() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, pool := range g.state.pools {
		running += pool.running
		waiting += pool.waiting
	}
	return running, waiting
}

// Slots returns the requests for all models that may run here at once.
func (g *Gate) Slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	slots := 0
	for _, pool := range g.state.pools {
		slots += pool.allowed.Slots
	}
	return slots
}
