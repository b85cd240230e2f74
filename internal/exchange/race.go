package exchange

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
)

// race holds the attempts of a request that are in progress: the main one, whose answer is forwarded, and
// those beside it. The first that brings output goes on, and the others end.
type race struct {
	mu     sync.Mutex
	main   *attempt // nil: none in progress, so that none may join
	beside []*attempt
	winner *attempt // of those beside: it has output and takes over
	from   resumePoint
	failed map[string]bool // keys of the targets of attempts that failed beside the main one
	ran    int             // attempts beside the main one that ended and may have run
	sent   int             // attempts beside the main one that ended
}

// lead makes an attempt the main one.
func (c *race) lead(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.main = a
}

// join adds an attempt that make begins from the resume point, beside a main one. It returns nil if that
// has ended.
func (c *race) join(main *attempt, begin func(from resumePoint) *attempt) (*attempt, resumePoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.main != main || c.winner != nil || main.ctx.Err() != nil {
		return nil, resumePoint{}
	}
	a := begin(c.from)
	c.beside = append(c.beside, a)
	return a, c.from
}

// newest returns the attempt that was sent last, and how many were sent and may have run beside the main one.
func (c *race) newest(main *attempt) (newest *attempt, sent, ran int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest = main
	if len(c.beside) > 0 {
		newest = c.beside[len(c.beside)-1]
	}
	return newest, c.sent + len(c.beside), c.ran + len(c.beside)
}

// addTargets adds the keys of the targets of attempts that are in progress, or failed, beside the main one.
func (c *race) addTargets(keys map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.Copy(keys, c.failed)
	for _, a := range c.beside {
		keys[a.target.Key] = true
	}
}

// output calls use with the right to add output of the main attempt, unless another one has taken over.
// If use reports that there was any, the attempts beside it end.
func (c *race) output(use func(from *resumePoint) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.winner != nil {
		return false
	}
	if use(&c.from) {
		c.drop()
	}
	return true
}

// finish ends the attempts beside the main one, which has the complete answer. It returns false if
// another one has taken over.
func (c *race) finish() bool {
	return c.output(func(*resumePoint) bool { return true })
}

// drop ends the attempts beside the main one. The caller holds mu.
func (c *race) drop() {
	for _, a := range c.beside {
		c.leave(a)
		a.run.Metrics.hedgeEnded("dropped")
	}
	c.beside = nil
}

// leave ends an attempt beside the main one. The caller holds mu.
func (c *race) leave(a *attempt) {
	a.cancel(nil)
	c.sent++
	c.ran++
}

// offer lets an attempt that has output take over from the main one. It reports whether the attempt goes on.
func (c *race) offer(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.main == a {
		return true
	}
	if c.winner != nil || !slices.Contains(c.beside, a) {
		return false
	}
	c.beside = slices.DeleteFunc(c.beside, func(other *attempt) bool { return other == a })
	c.drop()
	c.beside, c.winner = []*attempt{a}, a
	if c.main != nil {
		c.main.cancel(a.replaces)
	}
	a.run.Metrics.hedgeEnded("took_over")
	return true
}

// fail records the failure of an attempt beside the main one. It reports whether the attempt is the main one.
func (c *race) fail(a *attempt, err error) bool {
	c.mu.Lock()
	if c.main == a || !slices.Contains(c.beside, a) {
		defer c.mu.Unlock()
		return c.main == a
	}
	c.beside = slices.DeleteFunc(c.beside, func(other *attempt) bool { return other == a })
	c.sent++
	var broken *BrokenError
	if errors.As(err, &broken) {
		c.ran++
	}
	if !pathFailed(err) {
		if c.failed == nil {
			c.failed = map[string]bool{}
		}
		c.failed[a.target.Key] = true
	}
	c.mu.Unlock()
	if a.ctx.Err() == nil || errors.Is(context.Cause(a.ctx), context.DeadlineExceeded) { // otherwise nobody waits for it, which is no evidence against the target
		a.run.failedBeside(a, err)
	}
	return false
}

// succeed returns the attempt that follows the main one, which failed: the one that took over, otherwise
// one that is in progress, nil if there is none. It also returns what the request's counts lack.
func (c *race) succeed() (next *attempt, failed map[string]bool, sent, ran int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.main = nil
	if len(c.beside) > 0 {
		next = c.beside[0]
		c.main, c.beside, c.winner = next, c.beside[1:], nil
	}
	failed, sent, ran = c.failed, c.sent, c.ran
	c.failed, c.sent, c.ran = nil, 0, 0
	return next, failed, sent, ran
}

// stop ends all attempts beside the main one once the request is over.
func (c *race) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.main = nil
	c.drop()
	if c.winner != nil {
		c.winner.end()
	}
}
