package main

import "github.com/plantainmux/plantainmux/internal/adminapi"

// orderOptions are the options of the order subcommands.
type orderOptions struct {
	accessOptions
	Daemon string `long:"daemon" required:"true" description:"admin address of any daemon, IP number and port"`
}

func (o *orderOptions) client() (*adminapi.OrderClient, error) {
	access, err := o.access()
	if err != nil {
		return nil, err
	}
	return adminapi.NewOrderClient(o.Daemon, access)
}
