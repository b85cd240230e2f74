package order

import "github.com/plantainmux/plantainmux/internal/endpoint"

// Order is one non-idempotent call that is to run at most once.
type Order struct {
	Claim   Claim
	Address string // endpoint of the service
	Call    endpoint.ServiceCall
}
