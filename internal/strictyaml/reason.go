package strictyaml

// Reason is the rule that a file violates.
type Reason string

// Reasons of a Problem.
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
