package config

import "fmt"

// Change is one field that differs between two configurations.
type Change struct {
	Field   string `json:"field"`
	Before  string `json:"before,omitempty"` // as JSON
	After   string `json:"after,omitempty"`  // as JSON
	Added   bool   `json:"added,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	switch {
	case c.Added:
		return fmt.Sprintf("+ %s: %s", c.Field, c.After)
	case c.Removed:
		return fmt.Sprintf("- %s: %s", c.Field, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, c.Before, c.After)
	}
}
