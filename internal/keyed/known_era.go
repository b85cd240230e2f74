package keyed

import "context"

// withKnownEra returns a context for a read whose answer must not belong to an earlier era of
// the store.
func withKnownEra(ctx context.Context, era uint64) context.Context {
	return context.WithValue(ctx, knownEraKey{}, era)
}

// checkEra returns a StaleEraError if a page belongs to an earlier era than is known.
func checkEra(ctx context.Context, topic string, page Page) error {
	known, _ := ctx.Value(knownEraKey{}).(uint64)
	if page.Era < known {
		return &StaleEraError{Topic: topic, Era: page.Era, Known: known}
	}
	return nil
}

type knownEraKey struct{}
