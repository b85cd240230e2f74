package registry

// Snapshot is the state of the registry at one point in time. It is immutable.
type Snapshot struct {
	ByID      map[string]*Endpoint
	ByService map[string][]*Endpoint // sorted by ID
}

func emptySnapshot() *Snapshot {
	return &Snapshot{ByID: map[string]*Endpoint{}, ByService: map[string][]*Endpoint{}}
}
