package logstream

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
)

// Position tells a fold where and by whom a record was written.
type Position struct {
	Offset infra.Offset
	Time   time.Time // writer's clock
	Writer string
}
