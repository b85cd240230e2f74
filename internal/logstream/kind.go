package logstream

// Kind names the type of a record within its stream.
type Kind string

// Kinds that every stream knows.
const (
	KindSnapshot Kind = "snapshot" // the encoded state at an earlier offset
	// KindReference names a snapshot in the stream of snapshots.
	KindReference Kind = "snapshot_reference"
	KindFence     Kind = "fence" // no effect but to fence its writer's earlier records
)

// internal reports whether records of the kind are for the stream itself and not
// for its fold.
func (k Kind) internal() bool {
	return k == KindSnapshot || k == KindReference || k == KindFence
}
