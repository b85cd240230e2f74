package keyed

import (
	"context"
)

// directly marks a read that is to ask the store itself, since another daemon
// is known to have newer records than the reader told.
func directly(ctx context.Context) context.Context {
	return context.WithValue(ctx, directKey{}, true)
}

func isDirect(ctx context.Context) bool { return ctx.Value(directKey{}) != nil }

type directKey struct{}
