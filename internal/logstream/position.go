package logstream

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// Position is a record's offset, time and writer, as passed to Fold.Apply.
type Position struct {
	Offset infra.Offset
	Time   time.Time // writer's clock
	Writer string
}
