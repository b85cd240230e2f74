package daemon

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/logstream"
)

// buildConfig builds the follower of the configuration stream and the spread
// among peers. Both offer versions to one store, which takes the higher only.
func (d *Daemon) buildConfig(wake func()) {
	d.inForce = config.NewStore()
	changed := func() {
		d.evidence.InForce(d.inForce.Load().Version, time.Now())
		wake()
	}
	d.spread = config.NewSpread(d.mesh, d.settings.DataCentre, d.inForce, d.metrics, d.logger, changed)
	d.config = logstream.New(d.adapters.Log, config.StreamName, config.NewFold(), d.streamOptions(d.offerFolded))
}

func (d *Daemon) offerFolded() {
	var folded config.Versioned
	d.config.Read(func(fold *config.Fold) { folded = fold.Current() })
	d.spread.Offer(folded, config.FromLog)
}

func (d *Daemon) currentConfig() config.Versioned {
	return d.inForce.Load().Versioned
}

// refusedStreams names the streams whose log contradicts what was applied.
func (d *Daemon) refusedStreams() []string {
	refused := append(d.orders.slots.Refused(), d.config.Refused(), d.groups.Refused())
	var told []string
	for _, err := range refused {
		if err != nil {
			told = append(told, err.Error())
		}
	}
	return told
}
