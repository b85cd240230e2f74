//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// outcome is what a client has seen of one request.
type outcome struct {
	status    int    // 0: no answer, not even its head
	signature string // Response-Signature
	body      []byte
	err       error // the answer isn't complete
	took      time.Duration
}

func (o outcome) complete() bool { return o.status != 0 && o.err == nil }

func (o outcome) String() string {
	if o.complete() {
		return fmt.Sprintf("%d, %d bytes, signature %q, after %v", o.status, len(o.body), o.signature, o.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("no complete answer (status %d, %d bytes): %v, after %v", o.status, len(o.body), o.err, o.took.Round(time.Millisecond))
}

// ask sends one request on a new connection and reads the answer to its end. A header without a value is left out.
func ask(address, method, path, id string, headers map[string]string, body []byte, wait time.Duration) outcome {
	start := time.Now()
	fail := func(err error) outcome { return outcome{err: err, took: time.Since(start)} }
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return fail(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(start.Add(wait + time.Second))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: x.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, wait.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	if _, named := headers["Authorization"]; !named {
		text.WriteString("Authorization: Bearer k1\r\n")
	}
	for name, value := range headers {
		if value == "" {
			continue // left out
		}
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	text.WriteString("\r\n")
	text.Write(body)
	if _, err := conn.Write(text.Bytes()); err != nil {
		return fail(err)
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, &http.Request{Method: method})
	for err == nil && answer.StatusCode < 200 { // an interim response; the answer follows
		answer, err = http.ReadResponse(reader, &http.Request{Method: method})
	}
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = errors.New("the connection was closed")
		}
		return fail(err)
	}
	data, err := io.ReadAll(answer.Body)
	return outcome{status: answer.StatusCode, signature: answer.Header.Get("Response-Signature"), body: data, err: err, took: time.Since(start)}
}
