package evacuation

import "strings"

// nameOf returns the name of the data centre that a key of the operators' topic names, empty if it
// names none.
func nameOf(key, prefix string) string {
	if prefix == "" {
		return ""
	}
	name, found := strings.CutPrefix(key, prefix)
	if !found {
		return ""
	}
	return name
}
