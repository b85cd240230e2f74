package adminapi

import "fmt"

// CredentialError reports that a file named in an Access cannot be used.
type CredentialError struct {
	File string
	Err  error // nil: the file holds no certificate
}

// Error implements error.
func (e *CredentialError) Error() string {
	if e.Err == nil {
		return e.File + ": no PEM certificate"
	}
	return fmt.Sprintf("%s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *CredentialError) Unwrap() error { return e.Err }
