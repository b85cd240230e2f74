package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	pathHealth           = "/healthz"
	healthTimeout        = time.Second
)

// HTTPService speaks to plain services over HTTP.
type HTTPService struct {
	client *resty.Client
}

// NewHTTPService returns a client of plain services. It never repeats a call.
func NewHTTPService() *HTTPService {
	transport := newTransport()
	// net/http repeats a request on a reused connection that turns out to be
	// closed. A fresh connection for each call rules that out.
	transport.DisableKeepAlives = true
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &HTTPService{client: resty.NewWithClient(client)}
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, address string, call ServiceCall) (ServiceAnswer, error) {
	request := s.client.R().SetContext(ctx).SetBody(call.Body)
	for name, values := range call.Header {
		request.Header[name] = values
	}
	if call.Key != "" {
		request.SetHeader(headerIdempotencyKey, call.Key)
	}
	response, err := request.Execute(call.Method, "http://"+address+call.Path)
	if err != nil {
		return ServiceAnswer{}, transportFailure(address, err)
	}
	return ServiceAnswer{
		Status:      response.StatusCode(),
		ContentType: response.Header().Get("Content-Type"),
		Body:        response.Body(),
	}, nil
}

// Healthy implements Service.
func (s *HTTPService) Healthy(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	response, err := s.client.R().SetContext(ctx).Get("http://" + address + pathHealth)
	return err == nil && response.IsSuccess()
}
