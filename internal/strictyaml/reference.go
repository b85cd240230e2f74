package strictyaml

import "reflect"

// Paths returns the paths of all fields of a struct type. List items are written
// as [].
func Paths(value any) []string {
	return pathsOf(reflect.TypeOf(value), "")
}

func pathsOf(t reflect.Type, path string) []string {
	switch {
	case t.Kind() == reflect.Slice:
		return pathsOf(t.Elem(), path+"[]")
	case t.Kind() != reflect.Struct:
		return []string{path}
	}
	var paths []string
	for i := range t.NumField() {
		paths = append(paths, pathsOf(t.Field(i).Type, join(path, yamlName(t.Field(i))))...)
	}
	return paths
}
