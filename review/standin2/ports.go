//go:build review

package main

import (
	"fmt"
	"net"
)

type portsCommand struct {
	Count int `long:"count" default:"1"`
}

// Execute prints free ports. All are held until the last one is known, so that they differ.
func (c *portsCommand) Execute([]string) error {
	for range c.Count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
