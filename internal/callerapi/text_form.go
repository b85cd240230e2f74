package callerapi

const textObject = "text_completion"

// textForm is the format of completions that are not chat completions.
type textForm struct{}

func (textForm) chunk(head answerHead, text, finishReason string, _ bool) any {
	choice := textChoice{Text: text, FinishReason: nilIfEmpty(finishReason)}
	return textAnswer{answerHead: head.withObject(textObject), Choices: []textChoice{choice}}
}

func (textForm) end(head answerHead, usage usage) any {
	return textAnswer{answerHead: head.withObject(textObject), Choices: []textChoice{}, Usage: &usage}
}

func (textForm) whole(head answerHead, text, finishReason string, usage usage) any {
	choice := textChoice{Text: text, FinishReason: nilIfEmpty(finishReason)}
	return textAnswer{answerHead: head.withObject(textObject), Choices: []textChoice{choice}, Usage: &usage}
}
