package callerapi

const assistantRole = "assistant"

// chatForm is the format of chat completions.
type chatForm struct{}

func (chatForm) chunk(head answerHead, text, finishReason string, first bool) any {
	delta := &chatMessage{Content: text}
	if first {
		delta.Role = assistantRole
	}
	choice := chatChoice{Delta: delta, FinishReason: nilIfEmpty(finishReason)}
	return chatAnswer{answerHead: head.withObject("chat.completion.chunk"), Choices: []chatChoice{choice}}
}

func (chatForm) end(head answerHead, usage usage) any {
	return chatAnswer{answerHead: head.withObject("chat.completion.chunk"), Choices: []chatChoice{}, Usage: &usage}
}

func (chatForm) whole(head answerHead, text, finishReason string, usage usage) any {
	choice := chatChoice{Message: &chatMessage{Role: assistantRole, Content: text}, FinishReason: nilIfEmpty(finishReason)}
	return chatAnswer{answerHead: head.withObject("chat.completion"), Choices: []chatChoice{choice}, Usage: &usage}
}
