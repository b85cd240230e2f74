package exchange

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/plantainmux/plantainmux/internal/outbound"
)

func (r *run) logFailedAttempt(a *attempt, err error) {
	target := a.target
	r.Logger.Info("attempt failed", "request", r.req.ID, "route", r.req.Route.Name, "attempt", r.attempts, "endpoint", target.ID,
		"group", target.Group, "epoch", target.Epoch, "load", target.Meter.Load(), "reason", retryReason(err), "error", err,
		"begun", r.started, "after", r.events.lastID, "elapsed_ms", time.Since(r.req.Arrived).Milliseconds(),
		"attempt_ms", time.Since(a.sentAt).Milliseconds(), "attempt_events", r.attemptEvents, "writing_ms", r.writingFor(time.Now()).Milliseconds(),
		"prompt_parts", hexParts(r.req.PromptParts))
}

// writingFor returns the time since the first event of the current attempt, 0 if there was none.
func (r *run) writingFor(now time.Time) time.Duration {
	if r.attemptFirstAt.IsZero() {
		return 0
	}
	return now.Sub(r.attemptFirstAt)
}

// hexParts returns the IDs of prompt parts as callers write them.
func hexParts(parts []uint64) string {
	written := make([]string, 0, len(parts))
	for _, part := range parts {
		written = append(written, strconv.FormatUint(part, 16))
	}
	return strings.Join(written, ",")
}

// retryReason returns the reason of a failed attempt for logs and metrics.
func retryReason(err error) string {
	var notSent *NotSentError
	var notRun *NotRunError
	var broken *BrokenError
	switch {
	case errors.As(err, &notSent) && notSent.Blame == outbound.BlamePath:
		return "path_failed"
	case errors.As(err, &notSent) && notSent.Blame == outbound.BlameHold:
		return "declined"
	case errors.As(err, &notSent):
		return "not_sent"
	case errors.As(err, &notRun):
		return "not_run"
	case errors.As(err, &broken):
		return string(broken.Reason)
	default:
		return "other"
	}
}
