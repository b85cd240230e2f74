package keyed

import (
	"context"
	"errors"
	"time"
)

// fallbackShare is the part of a call's time that the store itself has, before a
// peer is asked.
const fallbackShare = 0.6

// Fallback reads through another daemon what the store does not tell this one.
// It writes only directly.
type Fallback struct {
	Log
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

func (f *Fallback) read(ctx context.Context, wait time.Duration, call func(context.Context, Log) (Page, error)) (Page, error) {
	page, err := f.direct(ctx, wait, call)
	var expired *ExpiredError
	if err == nil || errors.As(err, &expired) || ctx.Err() != nil {
		return page, err
	}
	peer := f.Peer()
	if peer == nil {
		return page, err
	}
	if relayed, peerErr := call(ctx, peer); peerErr == nil || errors.As(peerErr, &expired) {
		return relayed, peerErr
	}
	return page, err
}

func (f *Fallback) direct(ctx context.Context, wait time.Duration, call func(context.Context, Log) (Page, error)) (Page, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return call(ctx, f.Log)
	}
	beside := time.Until(deadline) - wait
	ctx, cancel := context.WithTimeout(ctx, wait+time.Duration(fallbackShare*float64(beside)))
	defer cancel()
	return call(ctx, f.Log)
}
