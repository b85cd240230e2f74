package daemon

import "golang.org/x/sys/unix"

const (
	bytesPerMB = 1 << 20
	heldShare  = 0.4 // of the memory that requests may hold; connections, runtime and garbage take the rest
)

// memoryLimit returns the memory that this process may use, in bytes; 0: not known.
func memoryLimit(memoryMB int) int64 {
	if memoryMB > 0 {
		return int64(memoryMB) * bytesPerMB
	}
	var machine unix.Sysinfo_t
	if unix.Sysinfo(&machine) != nil {
		return 0
	}
	return int64(uint64(machine.Totalram) * uint64(machine.Unit))
}
