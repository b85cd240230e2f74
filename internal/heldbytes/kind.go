package heldbytes

// Kind is what bytes are held for.
type Kind int

// Kinds of held bytes.
const (
	Requests      Kind = iota // bodies of requests
	Answers                   // bodies of answers that are not streamed
	Events                    // events that their callers have not taken
	Heads                     // parsed heads of requests
	SmallRequests             // bodies of requests that are known to be small
	kinds
)

// String returns the name of the kind in metrics and log lines.
func (k Kind) String() string {
	return [kinds]string{"requests", "answers", "events", "heads", "small_requests"}[k]
}
