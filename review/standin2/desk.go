//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	deskSlots = 6
	deskWork  = 60 * time.Millisecond
)

type deskCommand struct {
	ID     string `long:"id" required:"true"`
	Listen string `long:"listen" required:"true"`
	Store  string `long:"store" required:"true"`
	Zone   string `long:"zone" required:"true"`
	Record string `long:"record" required:"true"`
}

// desk is an engine of a plain service.
type desk struct {
	deskCommand
	record   *recorder
	sequence int64 // of entries
	born     int64
	leaving  atomic.Bool
}

// Execute runs the engine.
func (c *deskCommand) Execute([]string) error {
	record, err := newRecorder(c.Record)
	if err != nil {
		return err
	}
	d := &desk{deskCommand: *c, record: record, born: time.Now().UnixMilli()}
	go d.writeEntries()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/leave", func(http.ResponseWriter, *http.Request) { d.leaving.Store(true) }) // by the script
	mux.HandleFunc("/", d.serve)
	return http.ListenAndServe(c.Listen, mux)
}

// writeEntries writes the entry at each heartbeat, until the engine leaves. A call that is not answered is not repeated.
func (d *desk) writeEntries() {
	client := &http.Client{Timeout: time.Second}
	for ; !d.leaving.Load(); time.Sleep(heartbeat) {
		d.sequence++
		value, _ := json.Marshal(map[string]any{
			"service": "almacen", "address": d.Listen, "zone": d.Zone, "version": "v1", "slots": deskSlots, "state": "ready", "cold_remaining_ms": 0, "sequence": d.sequence, "born": d.born,
		})
		request, err := http.NewRequest(http.MethodPut, "http://"+d.Store+"/entries/"+d.ID, bytes.NewReader(value))
		if err != nil {
			continue
		}
		go func() {
			answer, err := client.Do(request)
			if err != nil {
				d.record.add(event{Engine: d.ID, What: "entry not answered", Epoch: uint64(d.sequence)})
				return
			}
			_ = answer.Body.Close()
		}()
	}
}

func (d *desk) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if wanted := r.Header.Get("Expected-Instance"); wanted != "" && wanted != d.ID {
		w.Header().Set("Instance-Id", d.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", d.ID)
		if d.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	d.record.add(event{Engine: d.ID, What: whatArrived, Detail: id})
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(deskWork)
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Response-Signature", "signed."+d.ID)
	_, _ = io.WriteString(w, "done "+id)
}
