package logstream

// arrival is a snapshot that was read, to be compared with the own state at the
// same offset.
type arrival struct {
	own    *frozen
	digest uint64
}
