package main

import "github.com/plantainmux/plantainmux/internal/adminapi"

// accessOptions are the options of every command that calls daemons.
type accessOptions struct {
	Token       string `long:"token" env:"PLANTAINMUX_ADMIN_TOKEN" description:"admin token of the daemons"`
	Authority   string `long:"authority" description:"PEM file of the authority of the daemons' certificates; plain HTTP without it"`
	Certificate string `long:"certificate" description:"PEM file of an operator's certificate of that authority, in place of a token"`
	Key         string `long:"key" description:"PEM file of the certificate's key"`
}

// access returns the credentials that the options name. It fails with a
// credentialFlagsError if they are missing or incomplete.
func (o *accessOptions) access() (adminapi.Access, error) {
	if o.Token == "" && o.Certificate == "" {
		return adminapi.Access{}, &credentialFlagsError{}
	}
	if (o.Certificate == "") != (o.Key == "") {
		return adminapi.Access{}, &credentialFlagsError{}
	}
	return adminapi.Access(*o), nil
}
