package endpoint

// Frame is one event of an engine's answer. Indexes start at 0 and have no gaps.
type Frame struct {
	Attempt      string `json:"attempt"`
	Index        int    `json:"index"`
	Text         string `json:"text,omitempty"`
	Done         bool   `json:"done,omitempty"` // end marker: no frame follows
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
	// Cache is set in the first frame by engines that publish cache events.
	Cache *CacheEvents `json:"cache,omitempty"`
}
