package endpoint

import "context"

// Service is the interface of plain services.
type Service interface {
	// Call runs one call. Its failures are UnreachableError, BrokenError and
	// AnswerTooLargeError.
	Call(ctx context.Context, address string, call ServiceCall) (ServiceAnswer, error)
	// Healthy reports whether the service answers its health check.
	Healthy(ctx context.Context, address string) bool
}
