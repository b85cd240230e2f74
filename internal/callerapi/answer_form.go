package callerapi

// answerForm is the JSON form of an answer: of plain or of chat completions.
type answerForm interface {
	// chunk is a part of a streamed answer; first says that it is the first.
	chunk(head answerHead, text, finishReason string, first bool) any
	// end counts the tokens of a streamed answer, after its last part.
	end(head answerHead, usage usage) any
	// whole is an answer in one piece.
	whole(head answerHead, text, finishReason string, usage usage) any
}

func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
