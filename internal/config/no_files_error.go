package config

// NoFilesError says that there is nothing to collect.
type NoFilesError struct{}

// Error implements error.
func (e *NoFilesError) Error() string {
	return "no file named " + FileName + " was found"
}
