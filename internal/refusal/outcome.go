package refusal

// Outcome tells the caller what became of its request, independently of the
// HTTP status.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "done"    // the request ran and the answer is whole
	NotRun  Outcome = "not_run" // the request did not run and never will
	Unknown Outcome = "unknown" // the request may have run, wholly or in part
)

// OutcomeHeader carries the outcome of each answer. On a stream it is a trailer.
const OutcomeHeader = "Plantainmux-Outcome"
