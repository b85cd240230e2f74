package relay

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
)

// Times after which a caller may come back.
const (
	comeBackNoGroup  = 2 * time.Second
	comeBackFailed   = time.Second
	comeBackDeadline = time.Second
	comeBackSuspect  = 2 * time.Second
)

// refuse returns a refusal whose outcome says whether the request may have run.
func (r *run) refuse(reason refusal.Reason, comeBack time.Duration, detail string) *refusal.Refusal {
	if r.mayHaveRun {
		return refusal.NewUnknown(reason, comeBack, detail)
	}
	return refusal.New(reason, comeBack, detail)
}

// finalFailure returns the refusal of a failure that no other group can mend.
func (r *run) finalFailure(ctx context.Context, err error) *refusal.Refusal {
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
		return r.timeOver(ctx)
	case isRejected(err):
		return r.refuse(refusal.EndpointRefused, 0, "the endpoint rejected the request")
	case errors.As(err, &diverged):
		return r.deny(retry.Delivered)
	default:
		return nil
	}
}

// timeOver returns the refusal of a request whose time is over or whose caller
// went away.
func (r *run) timeOver(ctx context.Context) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Metrics.RetryDenied(retry.NoTime)
		return r.refuse(refusal.DeadlineExceeded, comeBackDeadline, "the request's time is over")
	}
	r.Metrics.RetryDenied(retry.CallerLeft)
	return r.refuse(refusal.CallerGone, 0, "the caller closed its connection")
}

// deny returns the refusal of a request that is not tried again.
func (r *run) deny(denial retry.Denial) *refusal.Refusal {
	r.Metrics.RetryDenied(denial)
	switch denial {
	case retry.Delivered:
		return r.refuse(refusal.EndpointBroke, comeBackFailed, "the answer broke off")
	case retry.NoTime:
		return r.refuse(refusal.DeadlineExceeded, comeBackDeadline, "no time is left for another attempt")
	case retry.Suspected:
		return r.refuse(refusal.CrashSuspect, 0, "the request crashed endpoints")
	default:
		return r.exhausted()
	}
}

// tooManySuspects returns the refusal of a suspect beyond those that may wait to
// run alone.
func (r *run) tooManySuspects() *refusal.Refusal {
	if r.attempts > 0 {
		r.Metrics.RetryDenied(retry.Suspected)
	}
	return r.refuse(refusal.CrashSuspect, comeBackSuspect, "too many such requests wait to run alone")
}

func (r *run) exhausted() *refusal.Refusal {
	if r.lastFailure == retry.NotRun && !r.mayHaveRun {
		return r.refuse(refusal.EndpointRefused, comeBackFailed, "the endpoints refused the request")
	}
	return r.refuse(refusal.RetriesExhausted, comeBackFailed, "no attempt brought a whole answer")
}
