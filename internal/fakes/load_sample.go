package fakes

import "time"

// loadSample is the load of an engine from a time on.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// sampleLoad notes the present load. The caller holds mu.
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
	e.lagged = append(e.lagged, loadSample{at: time.Now(), running: running, waiting: waiting})
}

// laggedLoad returns the load as it was ReportLag ago. The caller holds mu.
func (e *Engine) laggedLoad(now time.Time) (running, waiting int) {
	limit := now.Add(-e.options.ReportLag)
	for len(e.lagged) > 1 && !e.lagged[1].at.After(limit) {
		e.lagged = e.lagged[1:]
	}
	if len(e.lagged) == 0 || e.lagged[0].at.After(limit) {
		return 0, 0
	}
	return e.lagged[0].running, e.lagged[0].waiting
}
