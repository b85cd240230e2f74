package callerapi

// chatAnswer is the JSON of a chat completion, whole or a chunk.
type chatAnswer struct {
	answerHead
	Choices []chatChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}
