package strictyaml

import "fmt"

// Problem is one violation found in a file.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`  // from 1; 0 if the problem concerns the whole file
	Field  string `json:"field"` // path of the field, such as models[0].members
	Reason Reason `json:"reason"`
	Detail string `json:"detail"` // human-readable; never contains a secret
}

// Error implements error.
func (p Problem) Error() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field != "" {
		place += ": " + p.Field
	}
	return fmt.Sprintf("%s: %s: %s", place, p.Reason, p.Detail)
}
