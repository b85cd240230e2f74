package exchange

import "net/http"

// fallbackAnswer is an error answer of an endpoint. It is forwarded if no other
// endpoint answers successfully.
type fallbackAnswer struct {
	status int
	header http.Header
	body   []byte
}

// sendFallback forwards the error answer of an endpoint, if there is one, instead
// of the daemon's own failure. Nothing may follow the events of a broken stream:
// the caller must see that its answer is incomplete.
func (r *run) sendFallback(failure *Failure) *Failure {
	if r.fallback == nil || failure.Begun || failure.Reason == CallerGone {
		return failure
	}
	if err := r.sink.Whole(r.fallback.status, r.fallback.header, r.fallback.body); err != nil {
		return &Failure{Reason: CallerGone, Cause: err}
	}
	return nil
}
