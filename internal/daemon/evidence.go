package daemon

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/view"
)

// leavingBound is how long after its notice a leaving endpoint may be given
// new work.
const leavingBound = 3 * time.Second

// observer records what the relay does.
type observer struct {
	*evidence.Recorder
	leaving *leavingSince
}

// AttemptStarted implements relay.Observer.
func (o *observer) AttemptStarted(serving *view.Serving, at time.Time) {
	o.Recorder.AttemptStarted(serving.Fencing, at)
	for _, vm := range serving.Members {
		if o.leaving.longerThan(vm, leavingBound, at) {
			o.LeavingStart()
			return
		}
	}
}

func (d *Daemon) buildEvidence() {
	d.evidence = evidence.NewRecorder(d.id, d.settings.DataCentre, time.Now())
	d.leaving = newLeavingSince()
	lost := d.metrics.Counter("plantainmux_evidence_digests_lost_total")
	d.digests = evidence.NewPublisher(d.adapters.Log, d.evidence, d.logger, func() { lost.Inc() })
}

// finishEvidence records the end of a planned stop.
func (d *Daemon) finishEvidence() {
	d.evidence.RequestsCut(d.inFlight.remaining())
	d.digests.Finish(context.WithoutCancel(d.killed), time.Now())
}
