package settings

// Limits bound what one daemon holds.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes,omitempty"`    // largest request body
	QueueLength int   `yaml:"queue_length,omitempty"`  // requests waiting for capacity
	QueueWaitMS int   `yaml:"queue_wait_ms,omitempty"` // longest waiting for capacity, in milliseconds
	Workers     int   `yaml:"workers,omitempty"`       // concurrent control tasks
}
