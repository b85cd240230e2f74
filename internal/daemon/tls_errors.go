package daemon

import "fmt"

// TLSError reports that a file of the TLS settings cannot be used.
type TLSError struct {
	File string
	Err  error
}

// Error implements error.
func (e *TLSError) Error() string { return fmt.Sprintf("tls: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// NoCertificateError reports that a file contains no PEM certificate.
type NoCertificateError struct{}

// Error implements error.
func (e *NoCertificateError) Error() string { return "no PEM certificate" }
