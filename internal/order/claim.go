package order

// Claim asks for the right to run a key.
type Claim struct {
	Key            Key    `json:"key"`
	BodyHash       uint64 `json:"body_hash"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	DeadlineMillis int64  `json:"deadline_millis"` // Unix time after which the claimant no longer dispatches
	LifetimeMillis int64  `json:"lifetime_millis"` // how long the key is kept
}
