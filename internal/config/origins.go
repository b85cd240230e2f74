package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/plantainmux/plantainmux/internal/strictyaml"
)

// origin is the file of one list item and the item's index in that file.
type origin struct {
	document *strictyaml.Document
	index    int
}

// origins maps the fields of a merged configuration to the files they come from.
type origins struct {
	lists  map[string][]origin
	policy *strictyaml.Document
	first  *strictyaml.Document // reported for fields that no file declares
}

// add records that the next count items of a list come from a file.
func (o *origins) add(list string, document *strictyaml.Document, count int) {
	if o.lists == nil {
		o.lists = map[string][]origin{}
	}
	for i := range count {
		o.lists[list] = append(o.lists[list], origin{document: document, index: i})
	}
}

// locate returns the file of a field and the field's path within it.
func (o *origins) locate(path string) (*strictyaml.Document, string) {
	list, rest, indexed := strings.Cut(path, "[")
	if indexed {
		number, tail, _ := strings.Cut(rest, "]")
		if i, err := strconv.Atoi(number); err == nil && i < len(o.lists[list]) {
			from := o.lists[list][i]
			return from.document, fmt.Sprintf("%s[%d]%s", list, from.index, tail)
		}
	}
	if strings.HasPrefix(path, "policy") && o.policy != nil {
		return o.policy, path
	}
	return o.first, path
}

// problem returns a problem with a field, located in the field's own file.
func (o *origins) problem(path string, reason strictyaml.Reason, detail string) strictyaml.Problem {
	document, local := o.locate(path)
	return document.Problem(local, reason, detail)
}

// place returns the file and line of a field, or only the file if the line is
// unknown.
func (o *origins) place(path string) string {
	document, local := o.locate(path)
	if line := document.Line(local); line > 0 {
		return fmt.Sprintf("%s:%d", document.File, line)
	}
	return document.File
}
