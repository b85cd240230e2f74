package order

// Tick advances the stream's clock.
type Tick struct{}
