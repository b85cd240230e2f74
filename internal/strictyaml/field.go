package strictyaml

// Field documents one field of a file.
type Field struct {
	Path    string `json:"path"` // list items as []
	Unit    string `json:"unit"` // empty when the value has none
	Default string `json:"default"`
	Bounds  string `json:"bounds"`
	Doc     string `json:"doc"`
}
