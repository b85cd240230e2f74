package settings

// Limits holds the resource limits of one daemon.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes,omitempty"`    // maximum request body, in bytes
	HeadBytes   int   `yaml:"head_bytes,omitempty"`    // maximum head of a request, in bytes
	MemoryMB    int   `yaml:"memory_mb,omitempty"`     // memory that the process may use, in MB; 0: that of the machine
	QueueLength int   `yaml:"queue_length,omitempty"`  // maximum number of requests waiting for capacity
	QueueWaitMS int   `yaml:"queue_wait_ms,omitempty"` // maximum wait for capacity, in milliseconds
	Workers     int   `yaml:"workers,omitempty"`       // maximum number of concurrent control tasks
}
