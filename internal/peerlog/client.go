package peerlog

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

const connectLimit = 300 * time.Millisecond // within a few milliseconds' distance

// Client reads through daemons. Its connections are shared by all of them.
type Client struct{ http *resty.Client }

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: connectLimit}
	return &Client{http: resty.New().SetTransport(&http.Transport{DialContext: dialer.DialContext, DisableCompression: true})}
}

// Through returns the log as the daemon at an address reads it. It cannot write.
func (c *Client) Through(address string) keyed.Log { return &through{client: c, address: address} }

type through struct {
	client  *Client
	address string
}

// Newest implements keyed.Log.
func (t *through) Newest(ctx context.Context, topic, after string) (keyed.Page, error) {
	return t.get(ctx, topic, map[string]string{paramTopic: topic, paramAfter: after})
}

// Read implements keyed.Log.
func (t *through) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (keyed.Page, error) {
	return t.get(ctx, topic, map[string]string{
		paramTopic: topic, paramFrom: strconv.FormatUint(from, 10), paramWait: strconv.FormatInt(wait.Milliseconds(), 10),
	})
}

// Append implements keyed.Log. It always fails.
func (t *through) Append(context.Context, string, uint64, []keyed.Record) (uint64, error) {
	return 0, &keyed.RefusedError{Call: Path, Err: errors.ErrUnsupported}
}

// Put implements keyed.Log. It always fails.
func (t *through) Put(context.Context, string, keyed.Record) error {
	return &keyed.RefusedError{Call: Path, Err: errors.ErrUnsupported}
}

func (t *through) get(ctx context.Context, topic string, query map[string]string) (keyed.Page, error) {
	response, err := t.client.http.R().SetContext(ctx).SetQueryParams(query).Get("http://" + t.address + Path)
	if err != nil {
		return keyed.Page{}, &keyed.LostError{Call: Path, Err: err}
	}
	if response.StatusCode() != http.StatusOK {
		return keyed.Page{}, &keyed.RefusedError{Call: Path, Status: response.StatusCode(), Err: errors.ErrUnsupported}
	}
	var a answer
	if err := cbor.Unmarshal(response.Body(), &a); err != nil {
		return keyed.Page{}, &keyed.LostError{Call: Path, Err: err}
	}
	if a.Expired {
		return keyed.Page{}, &keyed.ExpiredError{Topic: topic, First: a.First}
	}
	return a.page(), nil
}
