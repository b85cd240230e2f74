package gateway

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/exchange"
)

const (
	stopMargin        = 600 * time.Millisecond // before the platform kills the process
	stopPollInterval  = 20 * time.Millisecond
	lastFramesPeriod  = 300 * time.Millisecond // for what was written to other daemons; a segment that is lost once takes 200 ms and a round trip
	lastAnswersPeriod = 200 * time.Millisecond // within stopMargin, to answer the requests that are ended with the grace
)

// stop waits until the load balancer has noticed and the requests in progress have
// finished, at most for the platform's grace period less stopMargin. Then it ends those that have not, so
// that their callers get an answer, and returns until when they may be written.
func (g *Gateway) stop() time.Time {
	startedAt := time.Now()
	g.stopStartedAt.Store(startedAt.UnixNano())
	g.stopping.Store(true)
	g.logger.Info("daemon stopping", "in_flight", g.inFlight.Load())
	latest := startedAt.Add(g.servingPeriod())
	noticed, end := awake.NewDeadline(startedAt.Add(readinessNoticePeriod)), awake.NewDeadline(latest)
	for !end.Passed(time.Now()) {
		if noticed.Passed(time.Now()) && g.inFlight.Load() == 0 {
			return latest
		}
		time.Sleep(stopPollInterval)
	}
	g.logger.Warn("daemon stops with requests in progress", "in_flight", g.inFlight.Load())
	g.endExchanges(&exchange.StoppedError{})
	return latest.Add(lastAnswersPeriod)
}

// shutDown closes the servers, that of the callers first, which answers what it has accepted; at the latest
// once a deadline has passed.
func (g *Gateway) shutDown(servers []*http.Server, deadline time.Time) {
	left := g.callers.Load().Finish(deadline)
	g.logger.Info("daemon closes", "connections_left", left, "in_flight", g.inFlight.Load())
	g.awaitExchanges(awake.NewDeadline(deadline))
	g.awaitDelivered(deadline)
	for _, server := range servers {
		_ = server.Close()
	}
}

// awaitExchanges waits for the exchanges that other daemons have passed on to this one, also those that wait
// unread in a link.
func (g *Gateway) awaitExchanges(end *awake.Deadline) {
	quiet := awake.NewDeadline(time.Now())
	for now := time.Now(); !quiet.Passed(now) && !end.Passed(now); now = time.Now() {
		if g.inFlight.Load() > 0 {
			quiet = awake.NewDeadline(now)
		}
		time.Sleep(stopPollInterval)
	}
}

// awaitDelivered waits until other daemons have what was written to them, for lastFramesPeriod and no longer than a deadline:
// closing the links withdraws the rest.
func (g *Gateway) awaitDelivered(deadline time.Time) {
	if latest := time.Now().Add(lastFramesPeriod); latest.Before(deadline) {
		deadline = latest
	}
	for end := awake.NewDeadline(deadline); g.adapters.Delivery.Unacknowledged(delivery.Daemons) > 0 && !end.Passed(time.Now()); {
		time.Sleep(stopPollInterval)
	}
}
