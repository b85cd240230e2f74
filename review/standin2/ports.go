//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are taken from below those that systems give to outgoing connections, which would take them in the meantime.
const (
	firstPort = 12000
	lastPort  = 32000
	maxTries  = 1000
)

type portsCommand struct {
	Count int `long:"count" default:"1"`
}

// Execute prints free ports. All are held until the last one is known, so that they differ.
func (c *portsCommand) Execute([]string) error {
	found := 0
	for range maxTries {
		if found == c.Count {
			return nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		datagrams, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer func() { _ = datagrams.Close() }()
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
		found++
	}
	return fmt.Errorf("only %d free ports of %d", found, c.Count)
}
