package keyed

import (
	"context"
	"time"
)

// CountedLog wraps the client of the store and counts the calls that are made, as each one is
// charged and all daemons together may make only so many.
type CountedLog struct {
	Log
	count func(call, topic string)
}

// NewCountedLog wraps log. count is called before each call, by several goroutines at once.
func NewCountedLog(log Log, count func(call, topic string)) *CountedLog {
	return &CountedLog{Log: log, count: count}
}

// Newest implements Log.
func (c *CountedLog) Newest(ctx context.Context, topic, after string) (Page, error) {
	c.count("newest", topic)
	return c.Log.Newest(ctx, topic, after)
}

// Read implements Log.
func (c *CountedLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	c.count("read", topic)
	return c.Log.Read(ctx, topic, from, wait)
}

// Append implements Log.
func (c *CountedLog) Append(ctx context.Context, topic string, at uint64, records []Record) (Position, error) {
	c.count("append", topic)
	return c.Log.Append(ctx, topic, at, records)
}

// Put implements Log.
func (c *CountedLog) Put(ctx context.Context, topic string, record Record) error {
	c.count("put", topic)
	return c.Log.Put(ctx, topic, record)
}
