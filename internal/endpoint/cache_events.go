package endpoint

// CacheEvents is a run of an engine's cache events. Sequence numbers count from
// 1 in each boot; the engine publishes an event some time after it happened.
type CacheEvents struct {
	// Read is the sequence number of the newest event, published or not, when the
	// engine had read the prompt of this answer.
	Read   uint64       `json:"read"`
	First  uint64       `json:"first,omitempty"` // sequence number of the first event
	Events []CacheEvent `json:"events,omitempty"`
}

// MaxCacheEvents is the most events that one answer carries.
const MaxCacheEvents = 512
