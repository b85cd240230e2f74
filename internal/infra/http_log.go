package infra

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/traffic"
)

// Path and query parameters of the log service.
const (
	pathStream  = "/streams/{stream}"
	queryFrom   = "from"
	queryLimit  = "limit"
	queryWaitMS = "wait_ms"
)

// requestTimeout is the timeout of an append. A read's timeout is its long-poll
// wait plus requestTimeout.
const requestTimeout = 5 * time.Second

// HTTPLog is a client of the log service that uses JSON over HTTP. It
// implements Log.
type HTTPLog struct {
	client *resty.Client
}

// NewHTTPLog returns a client of the log service at baseURL.
func NewHTTPLog(baseURL string) *HTTPLog {
	return &HTTPLog{client: resty.New().SetBaseURL(baseURL)}
}

// CountBytes makes counter count the bytes of the client's connections. It must be
// called before the first request.
func (l *HTTPLog) CountBytes(counter *traffic.Counter) *HTTPLog {
	return l.ConnectWith(traffic.NewDialer(dialTimeout, counter).DialContext)
}

// ConnectWith makes the client connect with dial. It must be called before the first
// request.
func (l *HTTPLog) ConnectWith(dial delivery.Dial) *HTTPLog {
	l.client.SetTransport(newTransport(dial))
	return l
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var answer AppendResponse
	response, err := l.client.R().
		SetContext(ctx).
		SetPathParam("stream", stream).
		SetBody(AppendRequest{Records: records}).
		SetResult(&answer).
		Post(pathStream)
	if err != nil {
		return 0, appendFailure(err)
	}
	switch {
	case response.IsSuccess():
		return answer.First, nil
	case response.StatusCode() == http.StatusTooManyRequests:
		return 0, &RateLimitedError{RetryAfter: retryAfter(response)}
	case response.StatusCode() == http.StatusServiceUnavailable:
		return 0, &UnavailableError{Operation: "append", Err: statusError(response.StatusCode())}
	default:
		return 0, &UnknownOutcomeError{Operation: "append", Err: statusError(response.StatusCode())}
	}
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	var page Page
	response, err := l.client.R().
		SetContext(ctx).
		SetPathParam("stream", stream).
		SetQueryParam(queryFrom, strconv.FormatUint(uint64(from), 10)).
		SetQueryParam(queryLimit, strconv.Itoa(limit)).
		SetQueryParam(queryWaitMS, strconv.FormatInt(wait.Milliseconds(), 10)).
		SetResult(&page).
		SetError(&page).
		Get(pathStream)
	if err != nil {
		return Page{}, &UnavailableError{Operation: "read", Err: merry.Wrap(err)}
	}
	if response.StatusCode() == http.StatusGone {
		return Page{}, &ExpiredError{Stream: stream, From: from, Oldest: page.Oldest}
	}
	if !response.IsSuccess() {
		return Page{}, &UnavailableError{Operation: "read", Err: statusError(response.StatusCode())}
	}
	return page, nil
}

// appendFailure converts an error of an append request. If no connection was
// established, nothing was appended and it returns UnavailableError. Otherwise
// the response may have been lost and it returns UnknownOutcomeError.
func appendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &UnavailableError{Operation: "append", Err: merry.Wrap(err)}
	}
	return &UnknownOutcomeError{Operation: "append", Err: merry.Wrap(err)}
}

// retryAfter returns the delay given in the Retry-After header, or 1 s if the
// header is missing or is not a number of seconds.
func retryAfter(response *resty.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header().Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}
