package callerapi

// textAnswer is the JSON of a completion, whole or a chunk.
type textAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []textChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}
