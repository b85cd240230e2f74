package logstream

// Kind names the type of a record within its stream.
type Kind string

// Kinds that are common to all streams.
const (
	KindSnapshot Kind = "snapshot" // carries the encoded state at an earlier offset
	// KindReference identifies a snapshot in the snapshot stream.
	KindReference Kind = "snapshot_reference"
	KindFence     Kind = "fence" // has no effect except to fence its writer's earlier records
)

// internal reports whether records of the kind are handled by the stream itself
// and not passed to its fold.
func (k Kind) internal() bool {
	return k == KindSnapshot || k == KindReference || k == KindFence
}
