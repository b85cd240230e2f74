package exchange

// resumePoint is where another attempt goes on with an answer.
type resumePoint struct {
	begun       bool // the caller has a part of the answer
	contentType string
	lastID      string // ID of the last event of that part
}
