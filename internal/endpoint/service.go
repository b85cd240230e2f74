package endpoint

import "context"

// Service is a client of plain services.
type Service interface {
	// Call executes one call. It fails with an UnreachableError, a BrokenError or an
	// AnswerTooLargeError.
	Call(ctx context.Context, address string, call ServiceCall) (ServiceAnswer, error)
	// Healthy reports whether the service passes its health check.
	Healthy(ctx context.Context, address string) bool
}
