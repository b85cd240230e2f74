package main

// credentialFlagsError reports that neither a token nor a complete pair of
// certificate and key was given.
type credentialFlagsError struct{}

// Error implements error.
func (*credentialFlagsError) Error() string {
	return "give --token, or --certificate and --key with --authority"
}
