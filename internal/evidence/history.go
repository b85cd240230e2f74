package evidence

import (
	"github.com/plantainmux/plantainmux/internal/infra"
)

// History contains the retained records of one stream, without duplicates.
type History struct {
	Stream string
	Oldest infra.Offset
	Next   infra.Offset
	Unread int // records that could not be decoded
	Items  []Item
}

// complete reports whether no record of the stream has expired.
func (h History) complete() bool {
	return h.Oldest == infra.FirstOffset
}
