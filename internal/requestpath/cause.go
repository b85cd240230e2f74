package requestpath

// Cause is the reason why a target has no path.
type Cause string

// Causes.
const (
	NoPath        Cause = "no_path"        // the target is no path: an absolute URL, an authority or "*"
	BadByte       Cause = "bad_byte"       // a control byte, a space or a fragment
	InvalidEscape Cause = "invalid_escape" // a percent sign without two hexadecimal digits
)
