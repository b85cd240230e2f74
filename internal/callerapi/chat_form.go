package callerapi

// chatForm is the form of chat completions.
type chatForm struct{}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *usage       `json:"usage,omitempty"`
}

func (chatForm) chunk(id, model, text, finishReason string) any {
	choice := chatChoice{Delta: &chatMessage{Content: text}, FinishReason: optional(finishReason)}
	return chatAnswer{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{choice}}
}

func (chatForm) whole(id, model, text, finishReason string, usage usage) any {
	choice := chatChoice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: optional(finishReason)}
	return chatAnswer{ID: id, Object: "chat.completion", Model: model, Choices: []chatChoice{choice}, Usage: &usage}
}
