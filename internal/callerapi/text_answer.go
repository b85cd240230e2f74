package callerapi

// textAnswer is the JSON of a completion or of a chunk of one.
type textAnswer struct {
	answerHead
	Choices []textChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}
