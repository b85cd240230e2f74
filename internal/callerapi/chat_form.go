package callerapi

// chatForm is the form of chat completions.
type chatForm struct{}

func (chatForm) chunk(id, model, text, finishReason string) any {
	choice := chatChoice{Delta: &chatMessage{Content: text}, FinishReason: optional(finishReason)}
	return chatAnswer{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{choice}}
}

func (chatForm) whole(id, model, text, finishReason string, usage usage) any {
	choice := chatChoice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: optional(finishReason)}
	return chatAnswer{ID: id, Object: "chat.completion", Model: model, Choices: []chatChoice{choice}, Usage: &usage}
}
