// Package metric registers the metrics of a daemon.
package metric

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
)

// Set holds the metrics of one daemon.
type Set struct {
	set         *metrics.Set
	refusals    map[refusal.Reason]*metrics.Counter
	retries     map[retry.Reason]*metrics.Counter
	denials     map[retry.Denial]*metrics.Counter
	frameFaults map[FrameFault]*metrics.Counter
	attempts    *metrics.Counter
	resumes     *metrics.Counter
	cancels     *metrics.Counter
	crashes     *metrics.Counter
	spills      *metrics.Counter
	frames      *metrics.Counter

	cacheEvents      *metrics.Counter
	cacheGaps        *metrics.Counter
	promptBlocks     *metrics.Counter
	promptBlocksHeld *metrics.Counter
}

// NewSet returns a set with the metrics of requests. It registers a counter for
// each reason of a refusal, a retry and a denied retry in advance, so that the
// counters are exported with the value 0 before the first event.
func NewSet() *Set {
	set := metrics.NewSet()
	return &Set{
		set:         set,
		refusals:    counters(set, "plantainmux_refusals_total", "reason", refusal.Reasons),
		retries:     counters(set, "plantainmux_retries_total", "reason", retry.Reasons),
		denials:     counters(set, "plantainmux_retries_denied_total", "reason", retry.Denials),
		frameFaults: counters(set, "plantainmux_frames_faulty_total", "fault", FrameFaults),
		attempts:    set.NewCounter("plantainmux_attempts_total"),
		resumes:     set.NewCounter("plantainmux_resumes_total"),
		cancels:     set.NewCounter("plantainmux_cancels_total"),
		crashes:     set.NewCounter("plantainmux_suspect_crashes_total"),
		spills:      set.NewCounter("plantainmux_spills_total"),
		frames:      set.NewCounter("plantainmux_frames_total"),

		cacheEvents:      set.NewCounter("plantainmux_cache_events_total"),
		cacheGaps:        set.NewCounter("plantainmux_cache_event_gaps_total"),
		promptBlocks:     set.NewCounter("plantainmux_prompt_blocks_total"),
		promptBlocksHeld: set.NewCounter("plantainmux_prompt_blocks_held_total"),
	}
}

func counters[K ~string](set *metrics.Set, name, label string, keys []K) map[K]*metrics.Counter {
	all := make(map[K]*metrics.Counter, len(keys))
	for _, key := range keys {
		all[key] = set.NewCounter(fmt.Sprintf("%s{%s=%q}", name, label, key))
	}
	return all
}

// Inc increments the counter with a name.
func (s *Set) Inc(name string) { s.set.GetOrCreateCounter(name).Inc() }

// Metrics returns the set in which all are registered.
func (s *Set) Metrics() *metrics.Set { return s.set }

// Refused counts a refused request.
func (s *Set) Refused(reason refusal.Reason) {
	if counter, ok := s.refusals[reason]; ok {
		counter.Inc()
	}
}

// Retried counts a retry.
func (s *Set) Retried(reason retry.Reason) {
	if counter, ok := s.retries[reason]; ok {
		counter.Inc()
	}
}

// RetryDenied counts a failed attempt that was not retried.
func (s *Set) RetryDenied(denial retry.Denial) {
	if counter, ok := s.denials[denial]; ok {
		counter.Inc()
	}
}

// FaultyFrame counts a dropped frame or a gap before a frame.
func (s *Set) FaultyFrame(fault FrameFault) {
	if counter, ok := s.frameFaults[fault]; ok {
		counter.Inc()
	}
}

// Attempted counts an attempt at a request.
func (s *Set) Attempted() { s.attempts.Inc() }

// Resumed counts the resumption of an interrupted stream.
func (s *Set) Resumed() { s.resumes.Inc() }

// Cancelled counts an attempt that was cancelled at its endpoint.
func (s *Set) Cancelled() { s.cancels.Inc() }

// Crashed counts a request that was in progress on a group that failed.
func (s *Set) Crashed() { s.crashes.Inc() }

// Spilled counts a request forwarded to another data centre.
func (s *Set) Spilled() { s.spills.Inc() }

// Frames counts response frames that were forwarded to the caller.
func (s *Set) Frames(count int) { s.frames.Add(count) }

// CacheEvents counts prompt cache events published by engines.
func (s *Set) CacheEvents(count int) { s.cacheEvents.Add(count) }

// CacheGap counts a gap in the prompt cache events of an engine.
func (s *Set) CacheGap() { s.cacheGaps.Inc() }

// PromptBlocks counts the blocks of a routed prompt, and how many of them were
// expected to be in the cache of the chosen group.
func (s *Set) PromptBlocks(blocks, held int) {
	s.promptBlocks.Add(blocks)
	s.promptBlocksHeld.Add(held)
}

// Counter returns the counter with a name and registers it if necessary.
func (s *Set) Counter(name string) *metrics.Counter {
	return s.set.GetOrCreateCounter(name)
}

// Gauge registers a gauge that reads its value from f.
func (s *Set) Gauge(name string, f func() float64) {
	s.set.GetOrCreateGauge(name, f)
}

// Histogram returns the histogram with a name and registers it if necessary.
func (s *Set) Histogram(name string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(name)
}

// Write writes all metrics, and those of the process, in the Prometheus text
// format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
