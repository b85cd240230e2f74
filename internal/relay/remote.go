package relay

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/request"
)

// Remote runs requests in other data centres.
type Remote interface {
	// DataCentres returns the other data centres that are reachable.
	DataCentres() []fleet.DataCentre
	// Generate starts an attempt in the data centre. It returns the same errors as
	// endpoint.Engine.
	Generate(ctx context.Context, to fleet.DataCentre, req *request.Request, attempt string) (endpoint.Stream, error)
}
