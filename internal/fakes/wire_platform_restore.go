package fakes

// Restore makes the store come back from a copy that lacks the last records of the endpoints, groups and daemons, and the
// last configuration. Endpoints write their entries again.
func (p *WirePlatform) Restore(lost int) {
	p.store.Log.Restore(lost, "keyed.servers", "keyed.groups", "keyed.daemons")
	p.store.Log.Restore(1, operatorsTopic)
	for _, engine := range p.Engines() {
		engine.register()
	}
}
