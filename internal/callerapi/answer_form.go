package callerapi

// answerForm is the JSON format of an answer: that of completions or of chat completions.
type answerForm interface {
	// chunk returns a chunk of a streamed answer; first marks the first one.
	chunk(head answerHead, text, finishReason string, first bool) any
	// end returns the token usage that follows the last chunk of a streamed answer.
	end(head answerHead, usage usage) any
	// whole returns a complete answer that is not streamed.
	whole(head answerHead, text, finishReason string, usage usage) any
}

func nilIfEmpty(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
