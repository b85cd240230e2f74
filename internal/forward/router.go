package forward

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/reach"
)

// slowConnect is the time without a connection after which an endpoint counts as not reached. A
// connection takes a round trip of a few milliseconds.
const slowConnect = 150 * time.Millisecond

// Dependencies are the collaborators of a Router.
type Dependencies struct {
	Direct Sender      // over this daemon's own connections
	Known  func() int  // number of endpoints that serve requests
	Vouch  reach.Vouch // whether another daemon has reached an endpoint
	Logger *slog.Logger
}

// Router carries out the exchanges of a daemon and watches whether it reaches the endpoints.
type Router struct {
	Dependencies
	tracker *reach.Tracker

	mu      sync.Mutex
	flights map[*flight]struct{}
}

// NewRouter returns a router without exchanges.
func NewRouter(dependencies Dependencies) *Router {
	return &Router{Dependencies: dependencies, tracker: reach.NewTracker(), flights: map[*flight]struct{}{}}
}

// Send implements Sender.
func (r *Router) Send(ctx context.Context, exchange Exchange) (*Response, error) {
	return r.sendDirect(ctx, exchange)
}

// sendDirect sends over this daemon's own connections.
func (r *Router) sendDirect(ctx context.Context, exchange Exchange) (*Response, error) {
	f := &flight{endpoint: exchange.Endpoint.Key, began: time.Now()}
	r.begin(f)
	defer r.end(f)
	response, err := r.Direct.Send(f.trace(ctx), exchange)
	if err == nil {
		response.Reused = f.reused.Load()
		r.tracker.ObserveAnswer(!response.Reused)
		return response, nil
	}
	r.observeError(ctx, f, err)
	return nil, err
}

func (r *Router) observeError(ctx context.Context, f *flight, err error) {
	var notSent *NotSentError
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		// The caller left, which shows nothing.
	case errors.As(err, &notSent):
		r.tracker.ObserveConnectFailure(f.endpoint, f.began)
	default:
		r.tracker.ObserveSilence(f.endpoint, f.began)
	}
}

func (r *Router) begin(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flights[f] = struct{}{}
}

func (r *Router) end(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f)
}

// Review applies the evidence that has come up. It is called every tenth of a second.
func (r *Router) Review(now time.Time) {
	r.reportSlowConnects(now)
	evidence, lost := r.tracker.Review(now, r.Known(), r.Vouch)
	if lost {
		r.Logger.Warn("links to the endpoints lost", "endpoints_failing", evidence.Failing, "reached_by_others", evidence.Vouched, "endpoints", evidence.Known)
	}
}

// reportSlowConnects records the endpoints to which a connection takes too long.
func (r *Router) reportSlowConnects(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f := range r.flights {
		if !f.connected.Load() && now.Sub(f.began) > slowConnect && !f.reported.Swap(true) {
			r.tracker.ObserveConnectFailure(f.endpoint, f.began)
		}
	}
}
