package relay

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
)

// Delays after which a caller may retry.
const (
	retryAfterNoGroup  = 2 * time.Second
	retryAfterFailed   = time.Second
	retryAfterDeadline = time.Second
	retryAfterSuspect  = 2 * time.Second
)

// refuse returns a refusal with outcome Unknown if the request may have run, NotRun
// otherwise.
func (r *run) refuse(reason refusal.Reason, retryAfter time.Duration, detail string) *refusal.Refusal {
	if r.mayHaveRun {
		return refusal.NewUnknown(reason, retryAfter, detail)
	}
	return refusal.New(reason, retryAfter, detail)
}

// terminalRefusal returns the refusal for a failure that another group cannot
// recover from, nil for any other failure.
func (r *run) terminalRefusal(ctx context.Context, err error) *refusal.Refusal {
	var sink *SinkError
	var diverged *DivergedError
	var tooLarge *AnswerTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return r.refuse(refusal.EndpointBroke, 0, tooLarge.Error())
	case errors.As(err, &sink) && errors.Is(err, os.ErrDeadlineExceeded):
		r.Metrics.RetryDenied(retry.CallerLeft)
		return r.refuse(refusal.SlowReader, 0, "the caller reads too slowly")
	case errors.As(err, &sink), ctx.Err() != nil:
		return r.contextRefusal(ctx)
	case isRejected(err):
		return r.refuse(refusal.EndpointRefused, 0, "the endpoint rejected the request")
	case errors.As(err, &diverged):
		return r.deny(retry.Delivered)
	default:
		return nil
	}
}

// contextRefusal returns the refusal of a request whose deadline passed or whose
// caller closed the connection.
func (r *run) contextRefusal(ctx context.Context) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Metrics.RetryDenied(retry.NoTime)
		return r.refuse(refusal.DeadlineExceeded, retryAfterDeadline, "the request's time is over")
	}
	r.Metrics.RetryDenied(retry.CallerLeft)
	return r.refuse(refusal.CallerGone, 0, "the caller closed its connection")
}

// deny returns the refusal of a request that is not retried.
func (r *run) deny(denial retry.Denial) *refusal.Refusal {
	r.Metrics.RetryDenied(denial)
	switch denial {
	case retry.Delivered:
		return r.refuse(refusal.EndpointBroke, retryAfterFailed, "the answer broke off")
	case retry.NoTime:
		return r.refuse(refusal.DeadlineExceeded, retryAfterDeadline, "no time is left for another attempt")
	case retry.Suspected:
		return r.refuse(refusal.CrashSuspect, 0, "the request crashed endpoints")
	default:
		return r.exhausted()
	}
}

// tooManySuspects returns the refusal of a crash suspect when too many suspects
// already wait to run isolated.
func (r *run) tooManySuspects() *refusal.Refusal {
	if r.attempts > 0 {
		r.Metrics.RetryDenied(retry.Suspected)
	}
	return r.refuse(refusal.CrashSuspect, retryAfterSuspect, "too many such requests wait to run alone")
}

func (r *run) exhausted() *refusal.Refusal {
	if r.lastFailure == retry.NotRun && !r.mayHaveRun {
		return r.refuse(refusal.EndpointRefused, retryAfterFailed, "the endpoints refused the request")
	}
	return r.refuse(refusal.RetriesExhausted, retryAfterFailed, "no attempt brought a whole answer")
}
