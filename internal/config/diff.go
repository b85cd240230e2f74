package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Diff returns the changes from one configuration to another, sorted by field.
// List items are matched by name, not by index, so the order of a list does not
// matter.
func Diff(from, to Configuration) []Change {
	before, after := flatten(from), flatten(to)
	var changes []Change
	for _, field := range slices.Sorted(maps.Keys(union(before, after))) {
		old, hadOld := before[field]
		value, hasNew := after[field]
		if hadOld && hasNew && old == value {
			continue
		}
		changes = append(changes, Change{Field: field, Before: old, After: value, Added: !hadOld, Removed: !hasNew})
	}
	return changes
}

func union(a, b map[string]string) map[string]string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// flatten returns the values of all fields, as JSON, by path.
func flatten(configuration Configuration) map[string]string {
	fields := map[string]string{}
	flattenValue(reflect.ValueOf(configuration), "", fields)
	return fields
}

func flattenValue(value reflect.Value, path string, into map[string]string) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("yaml"), ",")
			fieldPath := name
			if path != "" {
				fieldPath = path + "." + name
			}
			flattenValue(value.Field(i), fieldPath, into)
		}
	case reflect.Slice:
		for i := range value.Len() {
			flattenValue(value.Index(i), fmt.Sprintf("%s[%s]", path, itemName(value.Index(i), i)), into)
		}
	default:
		text, _ := json.Marshal(value.Interface())
		into[path] = string(text)
	}
}

// itemName returns the key that identifies a list item: its name or address, or
// its index if it has neither.
func itemName(item reflect.Value, index int) string {
	switch value := item.Interface().(type) {
	case Model:
		return string(value.Name)
	case Team:
		return string(value.Name)
	case Service:
		return value.Name
	case Replicas:
		return string(value.DataCentre)
	case ServiceEndpoint:
		return value.Address
	case Call:
		return value.Method + " " + value.Path
	}
	if item.Kind() == reflect.String {
		return item.String()
	}
	return fmt.Sprint(index)
}
