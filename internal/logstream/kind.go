package logstream

// Kind names the type of a record within its stream.
type Kind string

// Kinds that every stream knows.
const (
	KindSnapshot Kind = "snapshot" // the encoded state at an earlier offset
	KindFence    Kind = "fence"    // no effect but to fence its writer's earlier records
)
