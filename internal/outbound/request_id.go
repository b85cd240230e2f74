package outbound

import "context"

type requestIDKey struct{}

// WithRequestID returns a context whose exchanges belong to a caller's request.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestIDOf returns the ID of the caller's request, empty if there is none.
func RequestIDOf(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}
