package keyed

import (
	"context"
)

// withDirectRead returns a context for a read that bypasses the data centre's reader and
// goes to the store, because another daemon is known to have newer records than the
// reader returned.
func withDirectRead(ctx context.Context) context.Context {
	return context.WithValue(ctx, directKey{}, true)
}

func isDirect(ctx context.Context) bool { return ctx.Value(directKey{}) != nil }

type directKey struct{}
