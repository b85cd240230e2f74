package evidence

import "time"

// Report contains the findings for a span of time.
type Report struct {
	Span     Span       `json:"span"`
	MadeAt   time.Time  `json:"made_at"`
	Streams  []Coverage `json:"streams"`
	Findings []*Finding `json:"findings"`
}

// Holds reports whether no breach of any condition was found.
func (r Report) Holds() bool {
	for _, finding := range r.Findings {
		if !finding.Holds() {
			return false
		}
	}
	return true
}
