package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// Windowed is implemented by a fold whose stream forgets idle writers after
// another number of records than the usual one. All followers of a stream must
// agree on it.
type Windowed interface {
	// WriterWindow returns the number of records.
	WriterWindow() infra.Offset
}

// defaultWriterWindow is the number of records after which a writer's sequence
// number is forgotten, and after which a record that is still on its way is
// void. The second makes the first safe.
const defaultWriterWindow infra.Offset = 1 << 15

func writerWindow(fold any) infra.Offset {
	if windowed, ok := fold.(Windowed); ok {
		return windowed.WriterWindow()
	}
	return defaultWriterWindow
}
