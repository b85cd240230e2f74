package fakes

import "time"

// loadSample is the load of an engine from a time until the next sample.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// sampleLoad records the current load. The caller holds mu.
func (e *Engine) sampleLoad() {
	running, waiting := 0, 0
	for _, a := range e.attempts {
		switch {
		case a.done:
		case e.options.MaxRunning > 0 && running >= e.options.MaxRunning:
			waiting++
		default:
			running++
		}
	}
	e.loadSamples = append(e.loadSamples, loadSample{at: time.Now(), running: running, waiting: waiting})
}

// laggedLoad returns the load as it was ReportLag ago. The caller holds mu.
func (e *Engine) laggedLoad(now time.Time) (running, waiting int) {
	limit := now.Add(-e.options.ReportLag)
	for len(e.loadSamples) > 1 && !e.loadSamples[1].at.After(limit) {
		e.loadSamples = e.loadSamples[1:]
	}
	if len(e.loadSamples) == 0 || e.loadSamples[0].at.After(limit) {
		return 0, 0
	}
	return e.loadSamples[0].running, e.loadSamples[0].waiting
}
