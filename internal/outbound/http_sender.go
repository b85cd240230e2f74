package outbound

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// HTTPSender carries out exchanges over the connections of HTTP transports. It implements Sender.
type HTTPSender struct {
	Pooled http.RoundTripper
	Fresh  http.RoundTripper // uses each connection once
}

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, exchange Exchange) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, exchange.Method, "http://"+exchange.Endpoint.Address+exchange.Target, bytes.NewReader(exchange.Body))
	if err != nil {
		return nil, &NotSentError{Blame: BlamePath, Err: err}
	}
	request.Host = exchange.Host
	if exchange.Header != nil {
		request.Header = exchange.Header
	}
	transport := s.Pooled
	if exchange.Fresh {
		transport = s.Fresh
	}
	response, err := transport.RoundTrip(request)
	if err != nil && !connected.Load() {
		return nil, &NotSentError{Blame: BlameOf(err), Err: err}
	}
	if err != nil {
		return nil, err
	}
	if !IsFinal(response.StatusCode) { // 101, which net/http returns, or no status of HTTP
		_ = response.Body.Close()
		return nil, &NotFinalError{Status: response.StatusCode}
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}
