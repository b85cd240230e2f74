package endpoint

// CacheEvents is a contiguous sequence of an engine's cache events. Sequence
// numbers start at 1 with each boot of the engine. The engine publishes an event
// with a delay.
type CacheEvents struct {
	// Read is the sequence number of the newest event, published or not, at the time
	// the engine had processed the prompt of this answer.
	Read   uint64       `json:"read"`
	First  uint64       `json:"first,omitempty"` // sequence number of the first event
	Events []CacheEvent `json:"events,omitempty"`
}

// MaxCacheEvents is the maximum number of events in one answer.
const MaxCacheEvents = 512
