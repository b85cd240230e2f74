package callerapi

// chatAnswer is the JSON of a chat completion or of a chunk of one.
type chatAnswer struct {
	answerHead
	Choices []chatChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}
