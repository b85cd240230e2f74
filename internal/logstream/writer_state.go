package logstream

import "github.com/plantainmux/plantainmux/internal/infra"

// writerState is the deduplication state of one writer.
type writerState struct {
	Seq  uint64       `cbor:"1,keyasint"` // highest sequence number
	Last infra.Offset `cbor:"2,keyasint"` // offset of the newest record
}

// idle reports whether the newest record of the writer is more than window records
// before the offset at, so that its state is discarded.
func (w writerState) idle(at, window infra.Offset) bool {
	return w.Last+window < at
}
