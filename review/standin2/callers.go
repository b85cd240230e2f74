//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	callerTimeout = 6 * time.Second
	orderTimeout  = 3 * time.Second
)

type callersCommand struct {
	Daemons []string      `long:"daemon" required:"true" description:"address for callers"`
	Models  []string      `long:"model" description:"of streams; without any, orders are placed"`
	PerS    float64       `long:"per-s" default:"20" description:"requests a second"`
	For     time.Duration `long:"for" required:"true"`
	Record  string        `long:"record" required:"true"`
}

// Execute sends requests for streams and records how each ended.
func (c *callersCommand) Execute([]string) error {
	record, err := newRecorder(c.Record)
	if err != nil {
		return err
	}
	var wait sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.PerS))
	defer ticker.Stop()
	end := time.Now().Add(c.For)
	for number := 0; time.Now().Before(end); number++ {
		<-ticker.C
		id := fmt.Sprintf("%016x", rand.Uint64())
		daemon := c.Daemons[number%len(c.Daemons)]
		if len(c.Models) == 0 {
			wait.Go(func() { record.add(event{What: "order " + id, Detail: placeOrder(daemon, id)}) })
			continue
		}
		model := c.Models[(number/len(c.Daemons))%len(c.Models)]
		wait.Go(func() {
			record.add(event{What: "request " + id + " for " + model, Detail: call(daemon, model, id)})
		})
	}
	wait.Wait()
	return nil
}

// placeOrder sends one order, which may run once at most, and returns how it ended.
func placeOrder(daemon, id string) string {
	client := &http.Client{Timeout: orderTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon+"/order/"+id, strings.NewReader("parcel "+id))
	if err != nil {
		return err.Error()
	}
	request.Host = "almacen.example"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "3000", "Authorization": "Bearer key-of-merchants"} {
		request.Header.Set(name, value)
	}
	answer, err := client.Do(request)
	if err != nil {
		return "failed: " + err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "failed: " + err.Error()
	}
	return fmt.Sprintf("%d, %d bytes", answer.StatusCode, len(body))
}

// call sends one request and returns how it ended.
func call(daemon, model, id string) string {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon+"/talk/"+id, strings.NewReader("prompt "+id))
	if err != nil {
		return err.Error()
	}
	request.Host = "redactor.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Model": model, "Token-Usage": "700,60", "Prompt-Prefix": "a1:40," + id + ":660", "Deadline-Ms": "6000", "Authorization": "Bearer key-of-merchants",
	} {
		request.Header.Set(name, value)
	}
	answer, err := client.Do(request)
	if err != nil {
		return "failed: " + err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	events := 0
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return fmt.Sprintf("%d, %d events", answer.StatusCode, events)
}
