// Package strictyaml reads YAML files and refuses what it does not know.
package strictyaml

import (
	"bytes"
	"os"

	"go.yaml.in/yaml/v3"
)

// ReadFile decodes a file into value.
func ReadFile(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{File: path, Err: err}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(value); err != nil {
		return &FileError{File: path, Err: err}
	}
	return nil
}
