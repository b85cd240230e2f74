package keyed

import (
	"context"
	"errors"
	"time"
)

const (
	directShare = 0.5 // share of a call's time for the store, before another daemon is tried
	readerShare = 0.4 // share of a call's time for the data centre's reader, before the store is tried
)

// Fallback is a Log that reads from the data centre's reader if there is one, then from
// the store, then from any daemon that reaches the store. A daemon whose answer belongs to an
// earlier era of the store than the caller knows is passed over. Writes go to the store only.
type Fallback struct {
	Log
	// Reader returns the daemon that reads the store for this data centre. It returns nil
	// if that is this daemon or if none is known.
	Reader func() Log
	// Peer returns a daemon that reaches the store, or nil if none is known.
	Peer func() Log
	// StoreUnreachable reports whether this daemon cannot reach the store. Reads then skip the store;
	// another component has to probe it and detect the recovery. If StoreUnreachable is nil, the
	// store is never skipped.
	StoreUnreachable func() bool
}

// Newest implements Log.
func (f *Fallback) Newest(ctx context.Context, topic, after string) (Page, error) {
	return f.read(ctx, topic, 0, func(ctx context.Context, log Log, _ time.Duration) (Page, error) {
		return log.Newest(ctx, topic, after)
	})
}

// Read implements Log.
func (f *Fallback) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	return f.read(ctx, topic, wait, func(ctx context.Context, log Log, wait time.Duration) (Page, error) {
		return log.Read(ctx, topic, from, wait)
	})
}

func (f *Fallback) read(ctx context.Context, topic string, wait time.Duration, call readCall) (Page, error) {
	callTime := timeBeyondWait(ctx, wait)
	var failure error = &RefusedError{Call: "read", Err: &StoreUnreachableError{}}
	for _, source := range f.sources(isDirect(ctx)) {
		page, err := readWithin(ctx, source.share*callTime, waitThatFits(ctx, wait, callTime), call, source.log)
		if err == nil {
			err = checkEra(ctx, topic, page)
		}
		if answered(err) || ctx.Err() != nil {
			return page, err
		}
		if source.log == f.Log {
			failure = err
		}
	}
	return Page{}, failure
}

// sources returns the logs to try, in order: the reader unless the read is direct, the
// store unless it is unreachable, and another daemon.
func (f *Fallback) sources(direct bool) []source {
	var sources []source
	if reader := f.Reader(); reader != nil && !direct {
		sources = append(sources, source{log: reader, share: readerShare})
	}
	if f.StoreUnreachable == nil || !f.StoreUnreachable() {
		sources = append(sources, source{log: f.Log, share: directShare})
	}
	if peer := f.Peer(); peer != nil {
		sources = append(sources, source{log: peer, share: directShare})
	}
	return sources
}

// answered reports whether a read got a definite answer: records, or that they have
// expired.
func answered(err error) bool {
	var expired *ExpiredError
	return err == nil || errors.As(err, &expired)
}
