package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// Windowed is implemented by a fold whose stream uses a deduplication window other
// than the default. All followers of a stream must use the same window.
type Windowed interface {
	// WriterWindow returns the window as a number of records.
	WriterWindow() infra.Offset
}

// defaultDedupWindow is the number of records after which the sequence number of an
// idle writer is removed, and after which a delayed record is void. Rejecting
// delayed records makes it safe to remove the sequence numbers.
const defaultDedupWindow infra.Offset = 1 << 15

func dedupWindow(fold any) infra.Offset {
	if windowed, ok := fold.(Windowed); ok {
		return windowed.WriterWindow()
	}
	return defaultDedupWindow
}
