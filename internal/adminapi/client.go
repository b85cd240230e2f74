package adminapi

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
)

const clientTimeout = 5 * time.Second

// Client fetches the status of daemons for the operators' tool.
type Client struct {
	client *resty.Client
	scheme string
}

// NewClient returns a client that authenticates with access. It fails with a
// CredentialError.
func NewClient(access Access) (*Client, error) {
	client, scheme, err := access.connect(clientTimeout)
	if err != nil {
		return nil, err
	}
	return &Client{client: client, scheme: scheme}, nil
}

// StatusOfAll fetches the status of all daemons concurrently. The answers are in
// the order of the addresses; an answer holds either a status or an error.
func (c *Client) StatusOfAll(addresses []string) []StatusAnswer {
	answers := make([]StatusAnswer, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { answers[i] = c.status(address) })
	}
	wait.Wait()
	return answers
}

func (c *Client) status(address string) StatusAnswer {
	var status Status
	response, err := c.client.R().SetResult(&status).Get(c.scheme + address + "/admin/status")
	switch {
	case err != nil:
		return StatusAnswer{Address: address, Error: err.Error()}
	case response.StatusCode() != http.StatusOK:
		return StatusAnswer{Address: address, Error: response.Status()}
	default:
		return StatusAnswer{Address: address, Status: &status}
	}
}
