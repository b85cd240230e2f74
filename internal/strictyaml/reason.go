package strictyaml

// Reason says which rule a file breaks.
type Reason string

// Reasons of a refusal.
const (
	NotYAML          Reason = "not YAML"
	UnknownField     Reason = "unknown field"
	DuplicateField   Reason = "duplicate field"
	WrongType        Reason = "wrong type"
	Unsupported      Reason = "unsupported"
	Missing          Reason = "missing"
	Duplicate        Reason = "duplicate"
	MissingReference Reason = "missing reference"
	OutOfBounds      Reason = "out of bounds"
	Malformed        Reason = "malformed"
	Contradiction    Reason = "contradiction"
)
