package callerapi

const textObject = "text_completion"

// textForm is the form of plain completions.
type textForm struct{}

func (textForm) chunk(head answerHead, text, finishReason string, _ bool) any {
	choice := textChoice{Text: text, FinishReason: optional(finishReason)}
	return textAnswer{answerHead: head.of(textObject), Choices: []textChoice{choice}}
}

func (textForm) end(head answerHead, usage usage) any {
	return textAnswer{answerHead: head.of(textObject), Choices: []textChoice{}, Usage: &usage}
}

func (textForm) whole(head answerHead, text, finishReason string, usage usage) any {
	choice := textChoice{Text: text, FinishReason: optional(finishReason)}
	return textAnswer{answerHead: head.of(textObject), Choices: []textChoice{choice}, Usage: &usage}
}
