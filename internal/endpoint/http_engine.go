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

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

// Paths of an engine.
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
	errorBodyLimit     = 4 << 10 // bytes
)

// HTTPEngine speaks to engines over HTTP.
type HTTPEngine struct {
	transport *http.Transport
	control   *resty.Client
}

// NewHTTPEngine returns a client of engines.
func NewHTTPEngine() *HTTPEngine {
	transport := newTransport()
	return &HTTPEngine{transport: transport, control: newControl(transport)}
}

// CountControlOn gives reports and orders connections of their own, whose bytes
// are counted. It is called before the first use.
func (e *HTTPEngine) CountControlOn(counter *traffic.Counter) *HTTPEngine {
	transport := newTransport()
	transport.DialContext = traffic.NewDialer(dialTimeout, counter).DialContext
	e.control = newControl(transport)
	return e
}

// newControl returns a client for reports and orders. Its short name counts: it
// goes with every poll.
func newControl(transport *http.Transport) *resty.Client {
	return resty.NewWithClient(&http.Client{Transport: transport}).SetHeader("User-Agent", userAgent)
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// Report implements Engine. Polls are most of the traffic with engines, so they
// go without the library's layers around net/http.
func (e *HTTPEngine) Report(ctx context.Context, address string) (fleet.MemberReport, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var report fleet.MemberReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathReport, nil)
	if err != nil {
		return report, transportFailure(address, err)
	}
	request.Header["User-Agent"] = []string{userAgent}
	response, err := e.control.GetClient().Do(request)
	if err != nil {
		return report, transportFailure(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return report, transportFailure(address, err)
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
		return report, transportFailure(address, err)
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
	response, err := e.transport.RoundTrip(httpRequest)
	if err != nil {
		cancel()
		return nil, transportFailure(address, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, generateRefusal(address, request.Attempt, response)
	}
	return newSSEStream(address, response.Body, cancel), nil
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := e.control.R().
		SetContext(ctx).
		SetPathParam("attempt", attempt).
		Delete("http://" + address + PathGenerate + "/{attempt}")
	if err != nil {
		return transportFailure(address, err)
	}
	if !response.IsSuccess() {
		return &BrokenError{Address: address, Err: restyStatus(response)}
	}
	return nil
}

// generateRefusal turns an engine's refusal into a NotRunError when its code
// proves that nothing ran.
func generateRefusal(address, attempt string, response *http.Response) error {
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

// transportFailure tells a failed dial, after which no byte was sent, from a
// broken exchange.
func transportFailure(address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &UnreachableError{Address: address, Err: merry.Wrap(err)}
	}
	return &BrokenError{Address: address, Err: merry.Wrap(err)}
}

func restyStatus(response *resty.Response) error {
	return &StatusError{Status: response.StatusCode(), Body: response.String()}
}
