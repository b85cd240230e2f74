package daemon

import (
	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// streamStatuses returns the status of the log streams that every daemon reads.
func (d *Daemon) streamStatuses() []adminapi.StreamStatus {
	return []adminapi.StreamStatus{
		streamStatus(config.StreamName, d.config),
		streamStatus(group.StreamName(d.settings.DataCentre), d.groups),
	}
}

func streamStatus[F logstream.Fold](name string, stream *logstream.Stream[F]) adminapi.StreamStatus {
	return adminapi.StreamStatus{
		Name:        name,
		Booted:      stream.Booted(),
		Next:        stream.Next(),
		ConfirmedAt: stream.ConfirmedAt(),
	}
}
