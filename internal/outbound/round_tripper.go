package outbound

import (
	"io"
	"net/http"
	"net/http/httptrace"
)

// RoundTripper carries out the requests of HTTP clients with a Sender. It implements
// http.RoundTripper.
type RoundTripper struct {
	Sender Sender
	Fresh  bool // use a new connection for each request
}

// RoundTrip implements http.RoundTripper.
func (t *RoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := readBody(request)
	if err != nil {
		return nil, &NotSentError{Blame: BlamePath, Err: err}
	}
	address := request.URL.Host
	response, err := t.Sender.Send(request.Context(), Exchange{
		RequestID: RequestIDOf(request.Context()),
		Endpoint:  Endpoint{Key: address, Address: address},
		Method:    request.Method, Target: request.URL.RequestURI(), Host: request.Host, Header: request.Header, Body: body,
		Fresh: t.Fresh, Repeatable: !t.Fresh,
	})
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(request.Context()); response.Via != "" && trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: true})
	}
	return &http.Response{
		Status: http.StatusText(response.Status), StatusCode: response.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: response.Header, Body: response.Body, ContentLength: -1, Request: request,
	}, nil
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	return io.ReadAll(request.Body)
}
