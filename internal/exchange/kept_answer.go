package exchange

import "net/http"

// keptAnswer is an endpoint's own failure, passed on if no other endpoint does
// better.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// passKept passes on the failure that an endpoint gave, if there is one, in
// place of one of our own. Nothing may follow the events of a stream that broke:
// the caller must see that its answer is not whole.
func (r *run) passKept(failure *Failure) *Failure {
	if r.kept == nil || failure.Begun || failure.Reason == CallerGone {
		return failure
	}
	if err := r.sink.Whole(r.kept.status, r.kept.header, r.kept.body); err != nil {
		return &Failure{Reason: CallerGone, Cause: err}
	}
	return nil
}
