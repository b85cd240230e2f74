package keyed

import (
	"context"
	"errors"
	"time"
)

const (
	directShare = 0.5 // of a call's time that the store has, before another daemon is asked
	readerShare = 0.4 // of a call's time that the data centre's reader has, before the store is asked
)

// Fallback reads through the data centre's reader where there is one, else from
// the store, else through any daemon that reaches the store. It writes only
// directly.
type Fallback struct {
	Log
	// Reader returns the daemon that reads for this one's data centre, nil if that
	// is this one itself or none is known.
	Reader func() Log
	// Peer returns a daemon that reaches the store, nil if none is known.
	Peer func() Log
	// Lost reports whether this daemon itself does not reach the store, which is then
	// not asked: whoever finds out that it is back does so by itself. nil: never.
	Lost func() bool
}

// Newest implements Log.
func (f *Fallback) Newest(ctx context.Context, topic, after string) (Page, error) {
	return f.read(ctx, 0, func(ctx context.Context, log Log, _ time.Duration) (Page, error) {
		return log.Newest(ctx, topic, after)
	})
}

// Read implements Log.
func (f *Fallback) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	return f.read(ctx, wait, func(ctx context.Context, log Log, wait time.Duration) (Page, error) {
		return log.Read(ctx, topic, from, wait)
	})
}

func (f *Fallback) read(ctx context.Context, wait time.Duration, call readCall) (Page, error) {
	beside := besideWait(ctx, wait)
	var failure error = &RefusedError{Call: "read", Err: &UnreachedError{}}
	for _, source := range f.sources(isDirect(ctx)) {
		page, err := within(ctx, source.share*beside, fitting(ctx, wait, beside), call, source.log)
		if answered(err) || ctx.Err() != nil {
			return page, err
		}
		if source.log == f.Log {
			failure = err
		}
	}
	return Page{}, failure
}

// sources returns the logs to ask, in order: the reader unless the read is to be
// direct, the store unless it is lost, and another daemon.
func (f *Fallback) sources(direct bool) []source {
	var sources []source
	if reader := f.Reader(); reader != nil && !direct {
		sources = append(sources, source{log: reader, share: readerShare})
	}
	if f.Lost == nil || !f.Lost() {
		sources = append(sources, source{log: f.Log, share: directShare})
	}
	if peer := f.Peer(); peer != nil {
		sources = append(sources, source{log: peer, share: directShare})
	}
	return sources
}

// answered reports whether a log told what it holds.
func answered(err error) bool {
	var expired *ExpiredError
	return err == nil || errors.As(err, &expired)
}
