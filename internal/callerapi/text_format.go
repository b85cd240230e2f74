package callerapi

const textObject = "text_completion"

// textFormat is the format of completions that are not chat completions.
type textFormat struct{}

func (textFormat) chunk(head answerHead, text, finishReason string, _ bool) any {
	choice := textChoice{Text: text, FinishReason: nilIfEmpty(finishReason)}
	return textAnswer{answerHead: head.withObject(textObject), Choices: []textChoice{choice}}
}

func (textFormat) usageChunk(head answerHead, usage usage) any {
	return textAnswer{answerHead: head.withObject(textObject), Choices: []textChoice{}, Usage: &usage}
}

func (textFormat) full(head answerHead, text, finishReason string, usage usage) any {
	choice := textChoice{Text: text, FinishReason: nilIfEmpty(finishReason)}
	return textAnswer{answerHead: head.withObject(textObject), Choices: []textChoice{choice}, Usage: &usage}
}
