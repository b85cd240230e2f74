package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

// Paths of the engine API.
const (
	PathReport   = "/v1/report"
	PathControl  = "/v1/control"
	PathGenerate = "/v1/generate"
)

const (
	reportTimeout      = 2 * time.Second
	controlTimeout     = 5 * time.Second
	dialTimeout        = time.Second
	idleConnsPerEngine = 64
	idleConnTimeout    = 90 * time.Second
	userAgent          = "plantainmux"
	errorBodyLimit     = 4 << 10  // bytes
	controlAnswerLimit = 1 << 20  // bytes of the answer to a report or an order
	maxHeadBytes       = 64 << 10 // of any response
)

// HTTPEngine implements Engine over HTTP.
type HTTPEngine struct {
	transport *http.Transport
	requests  http.RoundTripper // carries out requests of callers; transport unless set by SendThrough
	cancels   *resty.Client
	control   *resty.Client
	counter   *traffic.Counter // of the bytes of control; nil: not counted
}

// NewHTTPEngine returns an engine client.
func NewHTTPEngine() *HTTPEngine {
	transport := newTransport()
	control := newControlClient(transport)
	return &HTTPEngine{transport: transport, requests: transport, control: control, cancels: control}
}

// SendThrough makes the client send requests of callers, and their cancellations, with sender.
// Reports and orders use its own connections.
func (e *HTTPEngine) SendThrough(sender outbound.Sender) {
	e.requests = &outbound.RoundTripper{Sender: sender}
	e.cancels = newControlClient(e.requests)
}

// Transport returns the transport of the client's own connections for requests of callers.
func (e *HTTPEngine) Transport() http.RoundTripper { return e.transport }

// CountControlOn uses separate connections for reports and orders and counts their
// bytes on counter. It must be called before the first use of the client.
func (e *HTTPEngine) CountControlOn(counter *traffic.Counter) *HTTPEngine {
	transport := newTransport()
	transport.DialContext = traffic.NewDialer(dialTimeout, counter).DialContext
	e.control = newControlClient(transport)
	e.counter = counter
	return e
}

// ConnectWith makes the client connect with requests for requests of callers, and with orders for reports and orders. It must be
// called before its first use.
func (e *HTTPEngine) ConnectWith(requests, orders delivery.Dial) {
	e.transport.DialContext = requests.Within(dialTimeout)
	control := newTransport()
	control.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := orders.Within(dialTimeout)(ctx, network, address)
		if err != nil || e.counter == nil {
			return conn, err
		}
		return traffic.WrapConn(conn, e.counter), nil
	}
	e.control = newControlClient(control)
}

// newControlClient returns a client for reports and orders. Its user agent is short
// because every poll sends it.
func newControlClient(transport http.RoundTripper) *resty.Client {
	return resty.NewWithClient(&http.Client{Transport: transport}).SetHeader("User-Agent", userAgent).SetResponseBodyLimit(controlAnswerLimit)
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Report implements Engine. Polls make up most of the traffic with engines, so they
// use net/http directly and avoid the overhead of resty.
func (e *HTTPEngine) Report(ctx context.Context, address string) (fleet.MemberReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report fleet.MemberReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathReport, nil)
	if err != nil {
		return report, transportError(address, err)
	}
	request.Header["User-Agent"] = []string{userAgent}
	response, err := e.control.GetClient().Do(request)
	if err != nil {
		return report, transportError(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, controlAnswerLimit))
	if err != nil {
		return report, transportError(address, err)
	}
	if response.StatusCode != http.StatusOK {
		return report, &BrokenError{Address: address, Err: &StatusError{Status: response.StatusCode, Body: string(body)}}
	}
	if err := json.Unmarshal(body, &report); err != nil {
		return report, &BrokenError{Address: address, Err: merry.Wrap(err)}
	}
	return report, nil
}

// Control implements Engine.
func (e *HTTPEngine) Control(ctx context.Context, address string, order ControlOrder) (fleet.MemberReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var report fleet.MemberReport
	var failure EngineError
	response, err := e.control.R().
		SetContext(ctx).
		SetBody(order).
		SetResult(&report).
		SetError(&failure).
		Post("http://" + address + PathControl)
	if err != nil {
		return report, transportError(address, err)
	}
	if failure.Code == CodeStaleFencing {
		return report, &StaleFencingError{Address: address, Sent: order.Fencing, Highest: failure.Highest}
	}
	if !response.IsSuccess() {
		return report, &BrokenError{Address: address, Err: restyStatus(response)}
	}
	return report, nil
}

// Generate implements Engine.
func (e *HTTPEngine) Generate(ctx context.Context, address string, request GenerateRequest) (Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: merry.Wrap(err)}
	}
	ctx, cancel := context.WithCancel(ctx)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathGenerate, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &UnreachableError{Address: address, Err: merry.Wrap(err)}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := e.requests.RoundTrip(httpRequest)
	if err != nil {
		cancel()
		return nil, transportError(address, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, refusalError(address, request.Attempt, response)
	}
	return newSSEStream(address, response.Body, cancel), nil
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := e.cancels.R().
		SetContext(ctx).
		SetPathParam("attempt", attempt).
		Delete("http://" + address + PathGenerate + "/{attempt}")
	if err != nil {
		return transportError(address, err)
	}
	if !response.IsSuccess() {
		return &BrokenError{Address: address, Err: restyStatus(response)}
	}
	return nil
}

// refusalError converts an engine's refusal of a generate request to an error: a
// NotRunError if the code proves that the request did not run, an AttemptLostError
// if there is nothing to resume, otherwise a BrokenError.
func refusalError(address, attempt string, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyLimit))
	var failure EngineError
	if json.Unmarshal(body, &failure) == nil {
		switch {
		case failure.Code == CodeNoAttempt:
			return &AttemptLostError{Address: address, Attempt: attempt}
		case provesNotRun(failure.Code):
			return &NotRunError{Address: address, Code: failure.Code}
		}
	}
	return &BrokenError{Address: address, Err: &StatusError{Status: response.StatusCode, Body: string(body)}}
}

// transportError returns an UnreachableError for a failed dial, or an exchange that was not sent,
// after which no byte was sent, and a BrokenError for any other failure.
func transportError(address string, err error) error {
	var op *net.OpError
	var notSent *outbound.NotSentError
	if errors.As(err, &notSent) || errors.As(err, &op) && op.Op == "dial" {
		return &UnreachableError{Address: address, Err: merry.Wrap(err)}
	}
	return &BrokenError{Address: address, Err: merry.Wrap(err)}
}

func restyStatus(response *resty.Response) error {
	return &StatusError{Status: response.StatusCode(), Body: response.String()}
}
