package adminapi

import (
	"net/http"
	"strconv"

	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/order"
)

// OrderClient calls the order interface of one daemon.
type OrderClient struct {
	client  *resty.Client
	scheme  string
	address string
}

// NewOrderClient returns a client of the daemon at an admin address. It fails
// with a CredentialError. Its methods fail with an OrderCallError.
func NewOrderClient(address string, access Access) (*OrderClient, error) {
	client, scheme, err := access.connect(orderTimeout + clientTimeout)
	if err != nil {
		return nil, err
	}
	return &OrderClient{client: client, scheme: scheme, address: address}, nil
}

// List returns the orders of the given states, oldest first.
func (c *OrderClient) List(states []order.State, limit int) ([]OrderStatus, error) {
	var listed []OrderStatus
	request := c.client.R().SetResult(&listed).SetQueryParam("limit", strconv.Itoa(limit))
	for _, state := range states {
		request.QueryParam.Add("state", string(state))
	}
	response, err := request.Get(c.url(PathOrders))
	return listed, c.failure(response, err)
}

// Get returns the order with a caller's idempotency key.
func (c *OrderClient) Get(team fleet.TeamName, service, key string) (OrderStatus, error) {
	var status OrderStatus
	request := c.client.R().SetResult(&status).
		SetQueryParam("team", string(team)).
		SetQueryParam("service", service).
		SetQueryParam("key", key)
	response, err := request.Get(c.url(PathOrder))
	return status, c.failure(response, err)
}

// Settle records an operator's verdict on an unclear order and returns the order.
func (c *OrderClient) Settle(settle SettleRequest) (OrderStatus, error) {
	var status OrderStatus
	response, err := c.client.R().SetResult(&status).SetBody(settle).Post(c.url(PathOrderSettle))
	return status, c.failure(response, err)
}

func (c *OrderClient) url(path string) string { return c.scheme + c.address + path }

func (c *OrderClient) failure(response *resty.Response, err error) error {
	if err != nil {
		return &OrderCallError{Address: c.address, Message: err.Error()}
	}
	if response.StatusCode() == http.StatusOK {
		return nil
	}
	return &OrderCallError{Address: c.address, Status: response.StatusCode(), Message: response.String()}
}
