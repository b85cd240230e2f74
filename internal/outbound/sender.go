package outbound

import "context"

// Sender carries out exchanges and returns final responses. It fails with NotSentError if no byte reached the endpoint, and
// with any other error if the request may have been received. Senders that connect report it to
// the httptrace.ClientTrace of the context.
type Sender interface {
	Send(ctx context.Context, exchange Exchange) (*Response, error)
}
