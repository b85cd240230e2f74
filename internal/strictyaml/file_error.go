package strictyaml

import "fmt"

// FileError reports that a file cannot be read.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }
