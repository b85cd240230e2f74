package config

// NoFilesError reports that no configuration file was found.
type NoFilesError struct{}

// Error implements error.
func (e *NoFilesError) Error() string {
	return "no file named " + FileName + " was found"
}
