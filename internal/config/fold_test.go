package config

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// applyPublish applies a publication of an empty configuration to a fold.
func applyPublish(fold *Fold, offset, base infra.Offset) error {
	body, err := logstream.Marshal(Publish{Base: base})
	if err != nil {
		return err
	}
	return fold.Apply(logstream.Position{Offset: offset, Time: time.UnixMilli(1), Writer: "w"}, KindPublish, body)
}
