package daemon

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// buildConfig builds the reader of the configuration stream and the
// distribution of configurations among peers. Both offer versions to the same
// store, which only accepts higher ones.
func (d *Daemon) buildConfig(wake func()) {
	d.inForce = config.NewStore()
	changed := func() {
		d.evidence.InForce(d.inForce.Load().Version, time.Now())
		wake()
	}
	d.spread = config.NewSpread(d.mesh, d.settings.DataCentre, d.inForce, d.metrics, d.logger, changed)
	d.config = logstream.New(d.adapters.Log, config.StreamName, config.NewFold(), d.streamOptions(d.offerLogVersion))
}

func (d *Daemon) offerLogVersion() {
	var folded config.Versioned
	d.config.Read(func(fold *config.Fold) { folded = fold.Current() })
	d.spread.Offer(folded, config.FromLog)
}

func (d *Daemon) currentConfig() config.Versioned {
	return d.inForce.Load().Versioned
}

// refusedStreams returns the errors of the streams whose log contradicts
// records that were already applied.
func (d *Daemon) refusedStreams() []string {
	refused := append(d.orders.slots.Refused(), d.config.Refused(), d.groups.Refused())
	var messages []string
	for _, err := range refused {
		if err != nil {
			messages = append(messages, err.Error())
		}
	}
	return messages
}
