package evidence

import (
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// Item is one record of a stream.
type Item struct {
	Offset infra.Offset
	Entry  logstream.Entry
}

// position returns the offset, time and writer of the record.
func (i Item) position() logstream.Position {
	return logstream.Position{Offset: i.Offset, Time: i.Entry.Time(), Writer: i.Entry.Writer}
}
