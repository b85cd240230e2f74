package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// statusOf returns the status of the next answer on a connection, or why there is none.
func statusOf(conn net.Conn) any {
	_ = conn.SetReadDeadline(time.Now().Add(9 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// place sends an order on each connection, and returns a function that waits for the answers.
func place(conns []net.Conn, order, name string) func() []any {
	answers := make([]any, len(conns))
	var all sync.WaitGroup
	for i, conn := range conns {
		all.Go(func() {
			_, err := fmt.Fprintf(conn, order, fmt.Sprintf("%s%d", name, i))
			if answers[i] = err; err == nil {
				answers[i] = statusOf(conn)
			}
		})
	}
	return func() []any { all.Wait(); return answers }
}
