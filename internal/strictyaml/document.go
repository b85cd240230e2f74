package strictyaml

import "strings"

// Document is a decoded file that remembers the lines of its fields.
type Document struct {
	File  string
	lines map[string]int
}

// NewDocument returns a document without lines, for a value that came from
// elsewhere.
func NewDocument(name string) *Document {
	return &Document{File: name}
}

// Line returns the line of a field, or of the nearest field above it that the
// file has. It is 0 when the file has none.
func (d *Document) Line(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return d.lines[""]
		}
		path = path[:cut]
	}
}

// Problem returns a refusal of a field of this document.
func (d *Document) Problem(path string, reason Reason, detail string) Problem {
	return Problem{File: d.File, Line: d.Line(path), Field: path, Reason: reason, Detail: detail}
}
