package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// checker validates a tree of YAML nodes against a Go type and collects the
// problems.
type checker struct {
	document *Document
	problems Problems
}

func (c *checker) reject(node *yaml.Node, path string, reason Reason, detail string) {
	c.problems = append(c.problems, Problem{File: c.document.File, Line: node.Line, Field: path, Reason: reason, Detail: detail})
}

func (c *checker) check(node *yaml.Node, t reflect.Type, path string) {
	if _, known := c.document.lines[path]; !known {
		c.document.lines[path] = node.Line
	}
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		c.reject(node, path, Unsupported, "anchors and aliases are not supported")
	case t.Kind() == reflect.Pointer:
		c.checkOptional(node, t, path)
	case t.Kind() == reflect.Map:
		c.checkMap(node, t, path)
	case node.Kind == yaml.ScalarNode && node.Tag == "!!null":
		c.reject(node, path, Missing, "the field has no value; leave it out instead")
	case t.Kind() == reflect.Struct:
		c.checkStruct(node, t, path)
	case t.Kind() == reflect.Slice:
		c.checkSlice(node, t, path)
	default:
		c.checkScalar(node, t, path)
	}
}

func (c *checker) checkStruct(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		c.reject(node, path, WrongType, "want a mapping")
		return
	}
	fields := fieldTypes(t)
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		fieldPath := join(path, key.Value)
		fieldType, known := fields[key.Value]
		first, repeated := seen[key.Value]
		switch {
		case !known:
			c.reject(key, fieldPath, UnknownField, "known fields: "+strings.Join(fieldNames(t), ", "))
		case repeated:
			c.reject(key, fieldPath, DuplicateField, fmt.Sprintf("also at line %d", first))
		default:
			seen[key.Value] = key.Line
			c.document.lines[fieldPath] = key.Line
			c.check(value, fieldType, fieldPath)
		}
	}
}

// checkOptional checks a field that may be without a value, which a pointer stands for: a template
// renders nothing for what its platform does not provide.
func (c *checker) checkOptional(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	c.check(node, t.Elem(), path)
}

// checkMap accepts a field without value as an empty map: a template that lists no entries writes
// one.
func (c *checker) checkMap(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.MappingNode {
		c.reject(node, path, WrongType, "want a mapping")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		keyPath := join(path, key.Value)
		if first, repeated := seen[key.Value]; repeated {
			c.reject(key, keyPath, DuplicateField, fmt.Sprintf("also at line %d", first))
			continue
		}
		seen[key.Value] = key.Line
		c.document.lines[keyPath] = key.Line
		c.check(value, t.Elem(), keyPath)
	}
}

func (c *checker) checkSlice(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		c.reject(node, path, WrongType, "want a list")
		return
	}
	for i, item := range node.Content {
		c.check(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

// checkScalar reports the expected type but never the value, which may be a
// secret.
func (c *checker) checkScalar(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.ScalarNode || !tagMatches(node.ShortTag(), t) || node.Decode(reflect.New(t).Interface()) != nil {
		c.reject(node, path, WrongType, "want "+typeDescription(t))
	}
}

// tagMatches reports whether a YAML tag matches a Go type. It rejects values
// that the decoder would convert silently, such as 1.5 to 1.
func tagMatches(tag string, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Bool:
		return tag == "!!bool"
	case reflect.Int, reflect.Int64:
		return tag == "!!int"
	case reflect.Float64:
		return tag == "!!int" || tag == "!!float"
	default:
		return tag != "!!binary"
	}
}

func typeDescription(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		types[yamlName(t.Field(i))] = t.Field(i).Type
	}
	return types
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, yamlName(t.Field(i)))
	}
	return names
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
