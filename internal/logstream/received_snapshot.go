package logstream

// receivedSnapshot is a snapshot that was read from the log and is to be compared
// with the local state at the same offset.
type receivedSnapshot struct {
	local  *frozenState
	digest uint64
}
