package registry

// Snapshot is the registry at one moment. It is immutable.
type Snapshot struct {
	ByID      map[string]*Endpoint
	ByService map[string][]*Endpoint // in the order of their IDs
}

func emptySnapshot() *Snapshot {
	return &Snapshot{ByID: map[string]*Endpoint{}, ByService: map[string][]*Endpoint{}}
}
