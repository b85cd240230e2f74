package refusal

// Outcome tells the caller whether its request ran, independently of the HTTP
// status.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "done"    // the request ran and the answer is complete
	NotRun  Outcome = "not_run" // the request did not run and will not run
	Unknown Outcome = "unknown" // the request may have run, completely or in part
)

// OutcomeHeader carries the outcome of each answer. On a stream it is a trailer.
const OutcomeHeader = "Plantainmux-Outcome"
