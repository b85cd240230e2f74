package evidence

import (
	"github.com/plantainmux/plantainmux/internal/infra"
)

// History is the retained part of one stream, without repeated records.
type History struct {
	Stream string
	Oldest infra.Offset
	Next   infra.Offset
	Unread int // records that could not be decoded
	Items  []Item
}

// whole reports whether the stream is retained from its first record on.
func (h History) whole() bool {
	return h.Oldest == infra.FirstOffset
}
