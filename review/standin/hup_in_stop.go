//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	ordersAtOnce = 5
	orderWork    = 1200 * time.Millisecond
	hupRounds    = 2 // one for each daemon
)

// hupInStop stops one daemon after the other with SIGTERM while it answers orders, and tells it with SIGHUP within its
// grace period that its settings file has changed. Rule LOST: a whole request that was passed on to an engine ends with its
// connection.
func hupInStop(folder string, trouble bool) (broken string) {
	platform := startStore()
	var mu sync.Mutex
	ran := map[string]int{} // by request
	finished := map[string]bool{}
	serve := func(_ *engine, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		ran[id]++
		mu.Unlock()
		note("engine: order %s begins to run", id)
		select {
		case <-time.After(orderWork):
		case <-r.Context().Done():
			note("engine: the connection of order %s has ended before its answer", id)
			return
		}
		mu.Lock()
		finished[id] = true
		mu.Unlock()
		note("engine: order %s is answered", id)
		_, _ = fmt.Fprintf(w, "done %s", body)
	}
	for i := range 3 {
		startEngine(platform, fmt.Sprintf("desk-%d", i), "desk", "za", "", nil, serve)
	}
	platform.put("keyed.op", "config", []byte(deskConfig))
	for _, name := range []string{"front-1", "front-2"} {
		d := newDaemon(name, "za")
		d.writeSettings(folder, platform.address, true)
		fleet = append(fleet, d)
	}
	for _, d := range fleet {
		d.start(folder)
	}
	for _, d := range fleet {
		await(15*time.Second, d.name+" is ready", d.isReady)
		await(10*time.Second, "a first order through "+d.name, func() bool {
			return ask(d.callers, "POST", "/order/first", "first-"+d.name, nil, []byte("first"), 4*time.Second).status == http.StatusOK
		})
	}
	lost := 0
	for round, d := range fleet[:hupRounds] {
		var wait sync.WaitGroup
		outcomes := make([]outcome, ordersAtOnce)
		for i := range ordersAtOnce {
			wait.Go(func() {
				id := fmt.Sprintf("order-%d-%d", round, i)
				note("client: order %s is sent to %s", id, d.name)
				outcomes[i] = ask(d.callers, "POST", "/order/x", id, nil, []byte(id), 4*time.Second)
				note("client: order %s: %s", id, outcomes[i])
			})
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			note("operator: SIGTERM to %s (planned)", d.name)
			d.signal(syscall.SIGTERM)
			time.Sleep(300 * time.Millisecond)
			text, err := os.ReadFile(d.settings)
			if err != nil {
				couldNotRun("settings: %v", err)
			}
			changed := strings.Replace(string(text), "memory_mb: 284", "memory_mb: 300", 1)
			if err := os.WriteFile(d.settings, []byte(changed), 0o644); err != nil {
				couldNotRun("settings: %v", err)
			}
			note("operator: the settings file of %s changes; SIGHUP (planned)", d.name)
			d.signal(syscall.SIGHUP)
		}
		wait.Wait()
		for i, o := range outcomes {
			id := fmt.Sprintf("order-%d-%d", round, i)
			mu.Lock()
			passedOn := ran[id] > 0
			mu.Unlock()
			if passedOn && !o.complete() {
				lost++
			}
		}
		if trouble {
			select {
			case <-d.ended:
				note("%s has ended: %s", d.name, d.state)
			case <-time.After(9 * time.Second):
				couldNotRun("%s runs on 9 s after SIGTERM", d.name)
			}
			d.writeSettings(folder, platform.address, false)
			d.start(folder)
			await(15*time.Second, d.name+" is ready again", d.isReady)
		}
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d of %d orders that engines ran got no answer, under planned work only", lost, hupRounds*ordersAtOnce)
	}
	return ""
}
