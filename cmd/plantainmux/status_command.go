package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/adminapi"
)

type statusCommand struct {
	Token   string   `long:"token" required:"true" env:"PLANTAINMUX_ADMIN_TOKEN" description:"admin token of the daemons"`
	Daemons []string `long:"daemon" required:"true" description:"admin address of a daemon, IP number and port"`
	Output  string   `long:"output" default:"text" choice:"text" choice:"json" description:"form of the output"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	for _, address := range c.Daemons {
		status, err := c.fetch(address)
		if err != nil {
			return err
		}
		c.print(status)
	}
	return nil
}

func (c *statusCommand) fetch(address string) (adminapi.Status, error) {
	var status adminapi.Status
	response, err := resty.New().R().SetAuthToken(c.Token).SetResult(&status).Get("http://" + address + "/admin/status")
	if err != nil {
		return status, err
	}
	if response.StatusCode() != http.StatusOK {
		return status, &adminError{Address: address, Status: response.StatusCode()}
	}
	return status, nil
}

func (c *statusCommand) print(status adminapi.Status) {
	if c.Output == "json" {
		line, _ := json.Marshal(status)
		fmt.Println(string(line))
		return
	}
	fmt.Printf("daemon %s in %s: ready %t, configuration version %d\n", status.Daemon, status.DataCentre, status.Ready, status.ConfigVersion)
	for _, group := range status.Groups {
		fmt.Printf("  group %d of %s %s: %s, members %v\n", group.Fencing, group.Model, group.Version, group.Condition, group.Members)
	}
}
