package settings

// Limits holds the resource limits of one daemon.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes,omitempty"`    // maximum request body, in bytes
	QueueLength int   `yaml:"queue_length,omitempty"`  // maximum number of requests waiting for capacity
	QueueWaitMS int   `yaml:"queue_wait_ms,omitempty"` // maximum wait for capacity, in milliseconds
	Workers     int   `yaml:"workers,omitempty"`       // maximum number of concurrent control tasks
}
