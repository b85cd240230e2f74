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
}

// Newest implements Log.
func (f *Fallback) Newest(ctx context.Context, topic, after string) (Page, error) {
	return f.read(ctx, 0, func(ctx context.Context, log Log) (Page, error) { return log.Newest(ctx, topic, after) })
}

// Read implements Log.
func (f *Fallback) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	return f.read(ctx, wait, func(ctx context.Context, log Log) (Page, error) { return log.Read(ctx, topic, from, wait) })
}

type readCall func(ctx context.Context, log Log) (Page, error)

func (f *Fallback) read(ctx context.Context, wait time.Duration, call readCall) (Page, error) {
	if reader := f.Reader(); reader != nil && !isDirect(ctx) {
		if page, err := within(ctx, readerShare, wait, call, reader); answered(err) {
			return page, err
		}
	}
	page, err := within(ctx, directShare, wait, call, f.Log)
	if answered(err) || ctx.Err() != nil {
		return page, err
	}
	peer := f.Peer()
	if peer == nil {
		return page, err
	}
	if relayed, peerErr := call(ctx, peer); answered(peerErr) {
		return relayed, peerErr
	}
	return page, err
}

// answered reports whether a log told what it holds.
func answered(err error) bool {
	var expired *ExpiredError
	return err == nil || errors.As(err, &expired)
}

// within makes a call that may take a share of the time that is left beside its
// wait.
func within(ctx context.Context, share float64, wait time.Duration, call readCall, log Log) (Page, error) {
	if deadline, ok := ctx.Deadline(); ok {
		beside := time.Until(deadline) - wait
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+time.Duration(share*float64(beside)))
		defer cancel()
	}
	return call(ctx, log)
}
