package strictyaml

import "strings"

// Document maps the fields of a decoded file to their lines.
type Document struct {
	File  string
	lines map[string]int // by field path
}

// NewDocument returns a document without lines, for a value that was not read
// from a file.
func NewDocument(name string) *Document {
	return &Document{File: name}
}

// Line returns the line of a field. If the file does not have the field, it
// returns the line of its nearest parent, and 0 if there is none.
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

// Problem returns a problem with a field of this document.
func (d *Document) Problem(path string, reason Reason, detail string) Problem {
	return Problem{File: d.File, Line: d.Line(path), Field: path, Reason: reason, Detail: detail}
}
