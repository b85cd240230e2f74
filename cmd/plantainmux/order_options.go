package main

import "github.com/plantainmux/plantainmux/internal/adminapi"

// orderOptions are the options of the commands about orders.
type orderOptions struct {
	Token  string `long:"token" required:"true" env:"PLANTAINMUX_ADMIN_TOKEN" description:"admin token of the daemons"`
	Daemon string `long:"daemon" required:"true" description:"admin address of any daemon, IP number and port"`
}

func (o *orderOptions) client() *adminapi.OrderClient {
	return adminapi.NewOrderClient(o.Daemon, o.Token)
}
