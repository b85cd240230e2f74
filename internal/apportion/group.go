package apportion

// Group is a group that serves and may be closed.
type Group struct {
	Name       string
	Model      string
	InProgress int            // requests, as far as they are known
	Fit        map[string]int // number of members that can serve another model without a load from the shared store
}
