package callerapi

// answerForm is the JSON form of an answer: of plain or of chat completions.
type answerForm interface {
	chunk(id, model, text, finishReason string) any
	whole(id, model, text, finishReason string, usage usage) any
}

// usage counts the tokens of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}
