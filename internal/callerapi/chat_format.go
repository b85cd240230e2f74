package callerapi

const assistantRole = "assistant"

// chatFormat is the format of chat completions.
type chatFormat struct{}

func (chatFormat) chunk(head answerHead, text, finishReason string, first bool) any {
	delta := &chatMessage{Content: text}
	if first {
		delta.Role = assistantRole
	}
	choice := chatChoice{Delta: delta, FinishReason: nilIfEmpty(finishReason)}
	return chatAnswer{answerHead: head.withObject("chat.completion.chunk"), Choices: []chatChoice{choice}}
}

func (chatFormat) usageChunk(head answerHead, usage usage) any {
	return chatAnswer{answerHead: head.withObject("chat.completion.chunk"), Choices: []chatChoice{}, Usage: &usage}
}

func (chatFormat) full(head answerHead, text, finishReason string, usage usage) any {
	choice := chatChoice{Message: &chatMessage{Role: assistantRole, Content: text}, FinishReason: nilIfEmpty(finishReason)}
	return chatAnswer{answerHead: head.withObject("chat.completion"), Choices: []chatChoice{choice}, Usage: &usage}
}
