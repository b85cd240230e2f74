package main

import (
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/plantainmux/plantainmux/internal/gateway"
)

// platformStatusTimeout is how long a daemon may take for its status, which it has at hand. It leaves
// room for a busy machine.
const platformStatusTimeout = 5 * time.Second

// platformAnswer is the answer of a daemon on a platform: a status or an error.
type platformAnswer struct {
	Address string          `json:"address"`
	Status  *gateway.Status `json:"status,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// askPlatformDaemons asks all daemons at once. The answers are in the order of the addresses.
func askPlatformDaemons(addresses []string) []platformAnswer {
	client := resty.New().SetTimeout(platformStatusTimeout)
	answers := make([]platformAnswer, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() { answers[i] = askPlatformDaemon(client, address) })
	}
	wait.Wait()
	return answers
}

func askPlatformDaemon(client *resty.Client, address string) platformAnswer {
	var status gateway.Status
	response, err := client.R().SetResult(&status).ForceContentType("application/json").Get("http://" + address + gateway.StatusPath)
	switch {
	case err != nil:
		return platformAnswer{Address: address, Error: err.Error()}
	case !response.IsSuccess():
		return platformAnswer{Address: address, Error: response.Status()}
	default:
		return platformAnswer{Address: address, Status: &status}
	}
}
