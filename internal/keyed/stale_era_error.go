package keyed

import "fmt"

// StaleEraError reports that an answer belongs to an earlier era of the store than one that
// is known already: it was delayed, or comes from a daemon that has not noticed the change.
type StaleEraError struct {
	Topic string
	Era   uint64 // of the answer
	Known uint64
}

// Error implements error.
func (e *StaleEraError) Error() string {
	return fmt.Sprintf("topic %s: answer of era %d, but the store is in era %d", e.Topic, e.Era, e.Known)
}
