package callerapi

// answerFormat is the JSON format of an answer: that of completions or of chat completions.
type answerFormat interface {
	// chunk returns a chunk of a streamed answer; first marks the first one.
	chunk(head answerHead, text, finishReason string, first bool) any
	// usageChunk returns the token usage that follows the last chunk of a streamed answer.
	usageChunk(head answerHead, usage usage) any
	// full returns a complete answer that is not streamed.
	full(head answerHead, text, finishReason string, usage usage) any
}

func nilIfEmpty(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
