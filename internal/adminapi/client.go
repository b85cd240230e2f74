package adminapi

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
)

const clientTimeout = 5 * time.Second

// Client asks daemons on behalf of operators.
type Client struct {
	client *resty.Client
	scheme string
}

// NewClient returns a client that authenticates with token. With an authority,
// a PEM file, it speaks TLS to daemons that hold a certificate of it.
func NewClient(token, authority string) *Client {
	client := resty.New().SetAuthToken(token).SetTimeout(clientTimeout)
	scheme := "http://"
	if authority != "" {
		client.SetRootCertificate(authority)
		scheme = "https://"
	}
	return &Client{client: client, scheme: scheme}
}

// StatusOfAll asks every daemon at the same time. The answers are in the order
// of the addresses; a failure of one does not hide the others.
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
