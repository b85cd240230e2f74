package order

// Tick is an empty record that advances stream time.
type Tick struct{}
