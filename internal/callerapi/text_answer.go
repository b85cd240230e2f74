package callerapi

// textAnswer is the JSON of a completion, whole or a chunk.
type textAnswer struct {
	answerHead
	Choices []textChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}
