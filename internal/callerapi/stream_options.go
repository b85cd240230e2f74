package callerapi

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"` // send the token usage before the end marker
}
