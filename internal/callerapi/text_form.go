package callerapi

// textForm is the form of plain completions.
type textForm struct{}

func (textForm) chunk(id, model, text, finishReason string) any {
	choice := textChoice{Text: text, FinishReason: optional(finishReason)}
	return textAnswer{ID: id, Object: "text_completion", Model: model, Choices: []textChoice{choice}}
}

func (textForm) whole(id, model, text, finishReason string, usage usage) any {
	choice := textChoice{Text: text, FinishReason: optional(finishReason)}
	return textAnswer{ID: id, Object: "text_completion", Model: model, Choices: []textChoice{choice}, Usage: &usage}
}
