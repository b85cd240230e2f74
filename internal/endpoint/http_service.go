package endpoint

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	pathHealth           = "/healthz"
	healthTimeout        = time.Second
	// serviceAnswerLimit is the maximum size of a response body in bytes.
	serviceAnswerLimit = 4 << 20
)

// HTTPService implements Service over HTTP.
type HTTPService struct {
	client    *resty.Client
	calls     *resty.Client // client unless set by SendThrough
	through   bool          // calls is set by SendThrough
	transport *http.Transport
}

// NewHTTPService returns a client of plain services. It never retries a call.
func NewHTTPService() *HTTPService {
	transport := newTransport()
	// net/http retries a request if a reused connection turns out to be closed.
	// A new connection for each call prevents that.
	transport.DisableKeepAlives = true
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	direct := resty.NewWithClient(client).SetResponseBodyLimit(serviceAnswerLimit)
	return &HTTPService{client: direct, calls: direct, transport: transport}
}

// SendThrough makes the client carry out calls and health checks with sender.
func (s *HTTPService) SendThrough(sender outbound.Sender) {
	client := &http.Client{Transport: &outbound.RoundTripper{Sender: sender, Fresh: true}, CheckRedirect: refuseRedirect}
	s.calls, s.through = resty.NewWithClient(client).SetResponseBodyLimit(serviceAnswerLimit), true
}

// Transport returns the transport of the client's own connections.
func (s *HTTPService) Transport() http.RoundTripper { return s.transport }

// ConnectWith makes the client connect with dial. It must be called before its first use.
func (s *HTTPService) ConnectWith(dial delivery.Dial) {
	s.transport.DialContext = dial.Within(dialTimeout)
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, address string, call ServiceCall) (ServiceAnswer, error) {
	var connected atomic.Bool
	connected.Store(s.through) // a sender says itself what it has not sent
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request := s.calls.R().SetContext(traced).SetBody(call.Body)
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if call.Key != "" {
		request.SetHeader(headerIdempotencyKey, call.Key)
	}
	response, err := request.Execute(call.Method, "http://"+address+call.Path)
	if err != nil {
		return ServiceAnswer{}, callError(address, connected.Load(), err)
	}
	if status := response.StatusCode(); !outbound.IsFinal(status) {
		return ServiceAnswer{}, &BrokenError{Address: address, Err: &outbound.NotFinalError{Status: status}}
	}
	return ServiceAnswer{
		Status:      response.StatusCode(),
		ContentType: response.Header().Get("Content-Type"),
		Body:        response.Body(),
	}, nil
}

// callError returns an UnreachableError if there was no connection or the call is known not to have
// been sent, an AnswerTooLargeError if the response exceeds the limit, and otherwise
// a BrokenError.
func callError(address string, connected bool, err error) error {
	var notSent *outbound.NotSentError
	var lost *outbound.PathLostError
	var remote *outbound.RemoteError
	switch {
	case errors.As(err, &notSent):
		return &UnreachableError{Address: address, Err: merry.Wrap(err)}
	case errors.As(err, &lost), errors.As(err, &remote):
		return &BrokenError{Address: address, Err: merry.Wrap(err)}
	case errors.Is(err, resty.ErrResponseBodyTooLarge):
		return &AnswerTooLargeError{Address: address, Limit: serviceAnswerLimit}
	case !connected:
		return &UnreachableError{Address: address, Err: merry.Wrap(err)}
	default:
		return &BrokenError{Address: address, Err: merry.Wrap(err)}
	}
}

// Healthy implements Service.
func (s *HTTPService) Healthy(ctx context.Context, address string) bool {
	ctx, cancel := awake.WithTimeout(ctx, healthTimeout)
	defer cancel()
	response, err := s.calls.R().SetContext(ctx).Get("http://" + address + pathHealth)
	return err == nil && response.IsSuccess()
}
