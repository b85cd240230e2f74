package daemon

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/view"
)

// leavingGracePeriod is the time after the leaving notice of a VM during which
// new requests may still start on it. Later starts are counted in the evidence.
const leavingGracePeriod = 3 * time.Second

// observer records the relay's attempts as evidence.
type observer struct {
	*evidence.Recorder
	leaving *leavingVMs
}

// AttemptStarted implements relay.Observer.
func (o *observer) AttemptStarted(serving *view.Serving, at time.Time) {
	o.Recorder.AttemptStarted(serving.Fencing, at)
	for _, vm := range serving.Members {
		if o.leaving.longerThan(vm, leavingGracePeriod, at) {
			o.LeavingStart()
			return
		}
	}
}

func (d *Daemon) buildEvidence() {
	d.evidence = evidence.NewRecorder(d.id, d.settings.DataCentre, time.Now())
	d.leaving = newLeavingVMs()
	lost := d.metrics.Counter("plantainmux_evidence_digests_lost_total")
	d.digests = evidence.NewPublisher(d.adapters.Log, d.evidence, d.logger, func() { lost.Inc() })
}

// finishEvidence records the requests cut off by a graceful stop and publishes
// the last digest.
func (d *Daemon) finishEvidence() {
	d.evidence.RequestsCut(d.inFlight.remaining())
	d.digests.Finish(context.WithoutCancel(d.killed), time.Now())
}
