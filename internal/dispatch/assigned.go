package dispatch

// Assigned is what is assigned to a target beyond what the daemons report.
type Assigned struct {
	Requests     int // that no report contains yet
	PromptTokens int // of the latest assignments
}
