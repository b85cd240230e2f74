package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// writerState is what a stream remembers of one writer.
type writerState struct {
	Seq  uint64       `cbor:"1,keyasint"` // highest sequence number
	Last infra.Offset `cbor:"2,keyasint"` // offset of the newest record
}

// idle reports whether the writer is forgotten at an offset.
func (w writerState) idle(at, window infra.Offset) bool {
	return w.Last+window < at
}
