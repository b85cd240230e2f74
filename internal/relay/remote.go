package relay

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/request"
)

// Remote runs requests in other data centres.
type Remote interface {
	// DataCentres returns the other data centres that can be reached.
	DataCentres() []fleet.DataCentre
	// Generate starts an attempt there. It fails as an engine does.
	Generate(ctx context.Context, to fleet.DataCentre, req *request.Request, attempt string) (endpoint.Stream, error)
}
