package main

// accessError says that no credential was given, or half of one.
type accessError struct{}

// Error implements error.
func (*accessError) Error() string {
	return "give --token, or --certificate and --key with --authority"
}
