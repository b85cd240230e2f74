//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	spoiledEvery   = 40              // one answer of so many that an engine gives: x = 0.025
	spoiledFor     = 5 * time.Second // from the first order on
	spoiledClients = 3               // of each daemon, each with one order at a time
	spoiledTime    = 6 * time.Second
)

// spoiledAnswer has half of the engines spoil one of their answers in forty for 5 s: in place of the answer they send the
// head of an interim response and end the connection. Rule MIXED: a client gets a success without the engine's Response-Signature.
func spoiledAnswer(folder string, trouble bool) (broken string) {
	platform := startStore()
	var mu sync.Mutex
	var until time.Time
	answers := map[string]int{} // by engine, since the first order
	spoiled := map[string]bool{}
	serve := func(e *engine, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		body, _ := io.ReadAll(r.Body)
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		now := time.Now()
		if now.Before(until) {
			answers[e.id]++
		}
		spoil := trouble && now.Before(until) && (e.id == "desk-0" || e.id == "desk-1") && answers[e.id]%spoiledEvery == spoiledEvery-1
		if spoil {
			spoiled[id] = true
		}
		mu.Unlock()
		if !spoil {
			_, _ = fmt.Fprintf(w, "done %s", body)
			return
		}
		note("engine %s: spoils its answer to order %s", e.id, id)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			couldNotRun("%v", err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
		_ = conn.Close()
	}
	for i := range 4 {
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
	var false200 []string
	total := 0
	var wait sync.WaitGroup
	began := time.Now()
	mu.Lock()
	until = began.Add(spoiledFor)
	mu.Unlock()
	for _, d := range fleet {
		for client := range spoiledClients {
			wait.Go(func() {
				for i := 0; time.Since(began) < spoiledTime; i++ {
					id := fmt.Sprintf("order-%s-%d-%d", d.name, client, i)
					o := ask(d.callers, "POST", "/order/x", id, nil, []byte(id), 4*time.Second)
					mu.Lock()
					total++
					if spoiled[id] || !o.complete() || o.status != http.StatusOK || o.signature == "" {
						note("client: order %s: %s", id, o)
					}
					if o.complete() && o.status >= 200 && o.status < 300 && o.signature == "" {
						false200 = append(false200, id)
					}
					mu.Unlock()
				}
			})
		}
	}
	wait.Wait()
	note("%d orders; answers of the engines while some were spoiled: %v, %d spoiled; %d successes without a signature", total, answers, len(spoiled), len(false200))
	if len(false200) > 0 {
		return fmt.Sprintf("MIXED: %d clients got a success without the engine's signature, the first for order %s", len(false200), false200[0])
	}
	return ""
}
