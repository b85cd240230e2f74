package logstream

import "github.com/plantainmux/plantainmux/internal/platform"

// writerState is what a stream remembers of one writer.
type writerState struct {
	Seq  uint64          `cbor:"1,keyasint"` // highest sequence number
	Last platform.Offset `cbor:"2,keyasint"` // offset of the newest record
}

// idle reports whether the writer is forgotten at an offset.
func (w writerState) idle(at, window platform.Offset) bool {
	return w.Last+window < at
}
