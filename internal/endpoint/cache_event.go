package endpoint

// CacheEvent says that an engine stored or evicted one block of a prompt in its
// prefix cache.
type CacheEvent struct {
	Block   uint64 `json:"block"` // hash of the prompt up to the block's end, below 2^53
	Evicted bool   `json:"evicted,omitempty"`
}
