package order

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Result is the result of one request of an order: an answer or a refusal.
type Result struct {
	Answer  endpoint.ServiceAnswer `cbor:"1,keyasint"`
	Refusal *refusal.Refusal       `cbor:"2,keyasint"`
}

func refused(r *refusal.Refusal) Result {
	return Result{Refusal: r}
}

// withUnknownOutcome returns the result with the outcome "not run" replaced by
// "unknown", for a request that another daemon may be running too.
func (r Result) withUnknownOutcome() Result {
	if r.Refusal == nil || r.Refusal.Outcome != refusal.NotRun {
		return r
	}
	unknown := *r.Refusal
	unknown.Outcome = refusal.Unknown
	return Result{Refusal: &unknown}
}
