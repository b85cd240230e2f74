package main

import (
	"errors"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/adminapi"
)

type orderSettleCommand struct {
	global *globalOptions
	orderOptions
	Ran      bool      `long:"ran" description:"the order ran"`
	NotRan   bool      `long:"not-ran" description:"the order did not run; its key is closed for good"`
	Operator string    `long:"operator" required:"true" env:"USER" description:"who settles it, for the record"`
	Args     orderArgs `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *orderSettleCommand) Execute([]string) error {
	if c.Ran == c.NotRan {
		return &verdictFlagsError{}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Settle(adminapi.SettleRequest{
		Team:     c.Args.team(),
		Service:  c.Args.Service,
		Key:      c.Args.Key,
		Ran:      c.Ran,
		Operator: c.Operator,
	})
	if err != nil {
		return settleFailure(err)
	}
	c.global.print(status, orderLines(status)...)
	return nil
}

// settleFailure returns a settleUnknownError if the daemon or its log did not
// answer, since the settlement may then have been recorded. Refusals stay as they
// are.
func settleFailure(err error) error {
	var failed *adminapi.OrderCallError
	if errors.As(err, &failed) && (failed.Status == 0 || failed.Status == http.StatusServiceUnavailable) {
		return &settleUnknownError{Err: failed}
	}
	return err
}
