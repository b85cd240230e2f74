package callerapi

// streamOptions are what a caller asks of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"` // count the tokens before the end marker
}
