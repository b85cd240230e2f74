package gateway

// Limits are the limits of the process.
type Limits struct {
	MemoryMB int     `yaml:"memory_mb"`
	CPUShare float64 `yaml:"cpu_share"` // of one core
	// FileDescriptors is the number of descriptors that the process may use; 0: as the operating system allows.
	FileDescriptors int `yaml:"file_descriptors,omitempty"`
}
