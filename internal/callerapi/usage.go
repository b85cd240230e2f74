package callerapi

import "github.com/plantainmux/plantainmux/internal/endpoint"

// usage counts the tokens of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// usageOf returns the token usage in the last frame of an answer.
func usageOf(last endpoint.Frame) usage {
	return usage{
		PromptTokens:     last.PromptTokens,
		CompletionTokens: last.OutputTokens,
		TotalTokens:      last.PromptTokens + last.OutputTokens,
	}
}
