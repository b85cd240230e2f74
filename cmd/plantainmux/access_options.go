package main

import "github.com/plantainmux/plantainmux/internal/adminapi"

// accessOptions are the options of every command that asks daemons.
type accessOptions struct {
	Token       string `long:"token" env:"PLANTAINMUX_ADMIN_TOKEN" description:"admin token of the daemons"`
	Authority   string `long:"authority" description:"PEM file of the authority of the daemons' certificates; plain HTTP without it"`
	Certificate string `long:"certificate" description:"PEM file of an operator's certificate of that authority, in place of a token"`
	Key         string `long:"key" description:"PEM file of the certificate's key"`
}

// access checks that the options name one way to prove who the operator is.
func (o *accessOptions) access() (adminapi.Access, error) {
	if o.Token == "" && o.Certificate == "" {
		return adminapi.Access{}, &accessError{}
	}
	if (o.Certificate == "") != (o.Key == "") {
		return adminapi.Access{}, &accessError{}
	}
	return adminapi.Access(*o), nil
}
