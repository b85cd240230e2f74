package endpoint

// CacheEvent reports that an engine added a block of a prompt to its prefix cache
// or evicted it.
type CacheEvent struct {
	Block   uint64 `json:"block"` // hash of the prompt up to the end of the block, below 2^53
	Evicted bool   `json:"evicted,omitempty"`
}
