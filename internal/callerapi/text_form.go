package callerapi

// textForm is the form of plain completions.
type textForm struct{}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type textAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []textChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}

func (textForm) chunk(id, model, text, finishReason string) any {
	choice := textChoice{Text: text, FinishReason: optional(finishReason)}
	return textAnswer{ID: id, Object: "text_completion", Model: model, Choices: []textChoice{choice}}
}

func (textForm) whole(id, model, text, finishReason string, usage usage) any {
	choice := textChoice{Text: text, FinishReason: optional(finishReason)}
	return textAnswer{ID: id, Object: "text_completion", Model: model, Choices: []textChoice{choice}, Usage: &usage}
}
