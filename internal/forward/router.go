package forward

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/reach"
)

const (
	// slowConnect is the time without a connection after which an endpoint counts as not reached. A
	// connection takes a round trip of a few milliseconds.
	slowConnect = 150 * time.Millisecond
	// silentAfter is the time on a connection without an answer after which an exchange counts as
	// silence of its endpoint. The longest pass of the known deployments takes 250 ms, slow members
	// take 1.3 times as long, and a first event may have to wait for two passes.
	silentAfter = 650 * time.Millisecond
	// maxReviewGap is the time between two reviews, which are due every 100 ms, above which this
	// process itself was held up. Answers may then wait in its sockets.
	maxReviewGap  = 300 * time.Millisecond
	probeInterval = 300 * time.Millisecond // while cut off
	probeTimeout  = 250 * time.Millisecond
	probeCount    = 2               // endpoints that must answer before a request is tried
	slowAnswer    = 1 * time.Second // without an answer, after which the way through a daemon is suspected
)

// Dependencies are the collaborators of a Router.
type Dependencies struct {
	Direct    outbound.Sender // over this daemon's own connections
	Forwarded *Client         // through other daemons
	Paths     Paths
	Probed    func() []outbound.Endpoint // endpoints that serve requests
	ProbePath string                     // of a probe, which any HTTP response answers
	Vouch     reach.Vouch                // whether another daemon has reached an endpoint
	OnLost    func()                     // called when the links are lost
	OnBack    func()                     // called when the links are back
	Count     func(metric string)        // increments a counter
	Logger    *slog.Logger
}

// Router carries out the exchanges of a daemon: over its own connections, and through another
// daemon while it is cut off from the endpoints.
type Router struct {
	Dependencies
	tracker *reach.Tracker
	probing atomic.Bool

	silent atomic.Int32 // flights that are silent

	mu         sync.Mutex
	flights    map[*flight]struct{}
	probedAt   time.Time
	reviewedAt time.Time
	awakeSince time.Time // since which reviews have been on time
}

// NewRouter returns a router without exchanges.
func NewRouter(dependencies Dependencies) *Router {
	return &Router{Dependencies: dependencies, tracker: reach.NewTracker(), flights: map[*flight]struct{}{}}
}

// Lost reports whether this daemon is cut off from the endpoints.
func (r *Router) Lost() bool { return r.tracker.Lost() }

// Forwards reports whether exchanges of requests that may be handled in some regions are forwarded
// to another daemon.
func (r *Router) Forwards(allowed *locality.Allowed) bool { return r.Lost() && r.Paths.Any(allowed) }

// Send implements Sender. It fails with PathLostError if the way to the endpoint broke.
func (r *Router) Send(ctx context.Context, exchange outbound.Exchange) (*outbound.Response, error) {
	if !r.Lost() {
		return r.sendDirect(ctx, exchange)
	}
	if exchange.Repeatable && r.tracker.BeginTrial() {
		return r.tryDirect(ctx, exchange)
	}
	via, ok := r.Paths.Pick(ctx, exchange.Allowed)
	if !ok {
		return r.sendDirect(ctx, exchange)
	}
	return r.forward(ctx, via, exchange)
}

// forward sends an exchange through another daemon.
func (r *Router) forward(ctx context.Context, via string, exchange outbound.Exchange) (*outbound.Response, error) {
	began := time.Now()
	response, err := r.Forwarded.Send(ctx, via, exchange)
	r.count(err)
	if err != nil {
		r.Paths.Release(via, pathFailed(ctx, err, time.Since(began)))
		return nil, err
	}
	response.Body = &releasedBody{ReadCloser: response.Body, release: func(err error) { r.Paths.Release(via, pathFailed(ctx, err, 0)) }}
	return response, nil
}

// pathFailed reports whether an exchange that failed after a time shows that the way through a
// daemon failed.
func pathFailed(ctx context.Context, err error, after time.Duration) bool {
	var notSent *outbound.NotSentError
	var lost *outbound.PathLostError
	switch {
	case errors.As(err, &notSent):
		return notSent.Blame == outbound.BlamePath
	case ctx.Err() != nil:
		return after > slowAnswer
	default:
		return errors.As(err, &lost)
	}
}

// sendDirect sends over this daemon's own connections.
func (r *Router) sendDirect(ctx context.Context, exchange outbound.Exchange) (*outbound.Response, error) {
	f := &flight{endpoint: exchange.Endpoint.Key, allowed: exchange.Allowed, repeatable: exchange.Repeatable, began: time.Now()}
	own, cancel := context.WithCancel(ctx)
	f.cancel = cancel
	r.begin(f)
	defer r.end(f)
	response, err := r.Direct.Send(f.trace(own), exchange)
	if err != nil {
		cancel()
		return nil, r.observeError(ctx, f, err)
	}
	response.Reused = f.reused.Load()
	response.Body = &releasedBody{ReadCloser: response.Body, onRead: r.tracker.ObserveEvent, release: func(error) { cancel() }}
	r.tracker.ObserveAnswer(!response.Reused)
	return response, nil
}

// tryDirect sends an exchange to find out whether the links are back.
func (r *Router) tryDirect(ctx context.Context, exchange outbound.Exchange) (*outbound.Response, error) {
	exchange.Fresh = true
	response, err := r.sendDirect(ctx, exchange)
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		r.tracker.CancelTrial()
		return nil, err
	}
	if r.tracker.EndTrial(err == nil, time.Now()) {
		r.Logger.Info("links to the endpoints are back")
		r.OnBack()
	}
	return response, err
}

// observeError records a failed exchange and returns the error that its sender gets.
func (r *Router) observeError(ctx context.Context, f *flight, err error) error {
	var notSent *outbound.NotSentError
	isNotSent := errors.As(err, &notSent)
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		// The caller left, which shows nothing.
	case isNotSent:
		r.tracker.ObserveConnectFailure(f.endpoint, f.began)
	default:
		r.tracker.ObserveSilence(f.endpoint, f.began)
	}
	switch {
	case !r.Forwards(nil): // with a way for any request, the links are lost for all
		return err
	case isNotSent:
		return &outbound.NotSentError{Blame: outbound.BlamePath, Err: notSent.Err}
	default:
		return &outbound.PathLostError{Err: err}
	}
}

// Review applies the evidence that has come up, and probes endpoints while the links are lost. It
// is called every tenth of a second.
func (r *Router) Review(now time.Time) {
	r.tracker.ReviewAnswers(now)
	r.reportSlowConnects(now)
	r.reportSilence(now)
	if r.tracker.Quiet() {
		return
	}
	endpoints := r.Probed()
	evidence, lost := r.tracker.Review(now, len(endpoints), r.Vouch)
	if lost {
		r.Logger.Warn("links to the endpoints lost", "endpoints_failing", evidence.Failing, "endpoints_silent", evidence.Silent, "reached_by_others", evidence.Vouched, "endpoints", evidence.Known)
		r.Count(`plantainmux_links_lost_total`)
		r.OnLost()
		r.cancelConnects()
	}
	if r.Lost() && r.probeDue(now) && !r.probing.Swap(true) {
		go r.probe(endpoints)
	}
	r.cancelSilent(now)
}

func (r *Router) probeDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.probedAt) < probeInterval {
		return false
	}
	r.probedAt = now
	return true
}

// probe sends probes to random endpoints and records whether all of them answer.
func (r *Router) probe(endpoints []outbound.Endpoint) {
	defer r.probing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	rand.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	for _, endpoint := range endpoints[:min(probeCount, len(endpoints))] {
		response, err := r.Direct.Send(ctx, outbound.Exchange{Endpoint: endpoint, Method: http.MethodGet, Target: r.ProbePath, Host: endpoint.Address, Header: http.Header{}, Fresh: true})
		if err != nil {
			return
		}
		_ = response.Body.Close()
	}
	r.tracker.ObserveProbe(time.Now())
}

// count counts an exchange that was forwarded.
func (r *Router) count(err error) {
	outcome := "answered"
	var notSent *outbound.NotSentError
	var lost *outbound.PathLostError
	switch {
	case errors.As(err, &notSent):
		outcome = "not_sent_" + notSent.Blame.String()
	case errors.As(err, &lost):
		outcome = "path_lost"
	case err != nil:
		outcome = "broken"
	}
	r.Count(fmt.Sprintf(`plantainmux_forwarded_total{outcome=%q}`, outcome))
}
