package outbound

// IsFinal reports whether a status is that of a final response. Interim responses (1xx) precede
// it, and other numbers are no status of HTTP.
func IsFinal(status int) bool { return status >= 200 && status < 600 }
