package group

// standing is how the planner sees one group.
type standing string

const (
	serving   standing = "serving"
	loading   standing = "loading"
	suspended standing = "suspended" // ready, but a member is silent and may come back
	going     standing = "going"     // finishes its requests, gets no new ones
	dead      standing = "dead"      // can never be complete again
)
