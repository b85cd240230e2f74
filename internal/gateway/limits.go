package gateway

// Limits are the limits of the process.
type Limits struct {
	MemoryMB int     `yaml:"memory_mb"`
	CPUShare float64 `yaml:"cpu_share"` // of one core
}
