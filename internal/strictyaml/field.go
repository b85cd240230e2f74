package strictyaml

// Field is the documentation of one field of a file.
type Field struct {
	Path    string `json:"path"` // list items are written as []
	Unit    string `json:"unit"` // empty if the value has none
	Default string `json:"default"`
	Bounds  string `json:"bounds"`
	Doc     string `json:"doc"`
}
