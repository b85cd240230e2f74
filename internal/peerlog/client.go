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

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

const connectTimeout = 300 * time.Millisecond // round trips between daemons take a few milliseconds

// Client reads the store through other daemons. All logs that it returns share its
// connection pool.
type Client struct{ http *resty.Client }

// NewClient returns a client whose connections are tracked.
func NewClient(tracker *delivery.Tracker) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{http: resty.New().SetTransport(&http.Transport{DialContext: tracker.Dial(delivery.Daemons, dialer.DialContext), DisableCompression: true})}
}

// LogVia returns a read-only log that reads through the daemon at an address.
func (c *Client) LogVia(address string) keyed.Log { return &remoteLog{client: c, address: address} }

// remoteLog is a read-only keyed.Log that sends its reads to another daemon.
type remoteLog struct {
	client  *Client
	address string
}

// Newest implements keyed.Log.
func (l *remoteLog) Newest(ctx context.Context, topic, after string) (keyed.Page, error) {
	return l.get(ctx, topic, map[string]string{paramTopic: topic, paramAfter: after})
}

// Read implements keyed.Log.
func (l *remoteLog) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (keyed.Page, error) {
	return l.get(ctx, topic, map[string]string{
		paramTopic: topic, paramFrom: strconv.FormatUint(from, 10), paramWait: strconv.FormatInt(wait.Milliseconds(), 10),
	})
}

// Append implements keyed.Log. It always fails.
func (l *remoteLog) Append(context.Context, string, uint64, []keyed.Record) (keyed.Position, error) {
	return keyed.Position{}, &keyed.RefusedError{Call: Path, Err: errors.ErrUnsupported}
}

// Put implements keyed.Log. It always fails.
func (l *remoteLog) Put(context.Context, string, keyed.Record) error {
	return &keyed.RefusedError{Call: Path, Err: errors.ErrUnsupported}
}

func (l *remoteLog) get(ctx context.Context, topic string, query map[string]string) (keyed.Page, error) {
	response, err := l.client.http.R().SetContext(ctx).SetQueryParams(query).Get("http://" + l.address + Path)
	if err != nil {
		return keyed.Page{}, &keyed.UnknownOutcomeError{Call: Path, Err: err}
	}
	if response.StatusCode() != http.StatusOK {
		return keyed.Page{}, &keyed.RefusedError{Call: Path, Status: response.StatusCode(), Err: errors.ErrUnsupported}
	}
	var body pageResponse
	if err := cbor.Unmarshal(response.Body(), &body); err != nil {
		return keyed.Page{}, &keyed.UnknownOutcomeError{Call: Path, Err: err}
	}
	if body.Expired {
		return keyed.Page{}, &keyed.ExpiredError{Topic: topic, First: body.First}
	}
	return body.page(), nil
}
