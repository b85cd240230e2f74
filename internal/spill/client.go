package spill

import (
	"context"
	"errors"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/request"
)

// Client forwards requests to other data centres. It implements relay.Remote.
type Client struct {
	mesh peer.Mesh
}

// NewClient returns a client that sends over mesh.
func NewClient(mesh peer.Mesh) *Client {
	return &Client{mesh: mesh}
}

// DataCentres implements relay.Remote.
func (c *Client) DataCentres() []fleet.DataCentre { return c.mesh.DataCentres() }

// Generate implements relay.Remote.
func (c *Client) Generate(ctx context.Context, to fleet.DataCentre, req *request.Request, attempt string) (endpoint.Stream, error) {
	opened, err := c.mesh.Open(ctx, to, peer.MethodGenerate, newRequest(req, attempt, time.Now()))
	if err != nil {
		return nil, endpointError(to, err)
	}
	return &stream{from: to, answers: opened}, nil
}

// endpointError converts an error of the mesh to one of package endpoint.
func endpointError(to fleet.DataCentre, err error) error {
	var unreachable *peer.UnreachableError
	if errors.As(err, &unreachable) {
		return &endpoint.UnreachableError{Address: string(to), Err: err}
	}
	return &endpoint.BrokenError{Address: string(to), Err: err}
}
