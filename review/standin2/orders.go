//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// order is the body of an order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	CloseMode string   `json:"close_mode"`
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.apply(o)
	if status == http.StatusAccepted {
		e.orders++
	}
	e.mu.Unlock()
	w.WriteHeader(status)
}

// apply carries out an order and returns the status of its answer. The caller holds mu.
func (e *engine) apply(o order) int {
	switch o.Operation {
	case "join":
		return e.join(o)
	case "stage":
		return e.stage(o.Model)
	case "open", "close", "leave":
		if e.group != o.Group || e.epoch != o.Epoch || e.group == "" {
			return http.StatusConflict
		}
	default:
		return http.StatusBadRequest
	}
	switch o.Operation {
	case "open":
		return e.open()
	case "close":
		return e.close(o.CloseMode)
	default:
		e.record.add(event{Engine: e.ID, What: whatLeft, Group: e.group, Epoch: e.epoch})
		e.forget()
		return http.StatusAccepted
	}
}

// forget ends the membership. The caller holds mu.
func (e *engine) forget() {
	e.group, e.epoch, e.members, e.state = "", 0, nil, ""
	e.change++
	e.lostAt = time.Time{}
	e.changed()
}

func (e *engine) join(o order) int {
	same := e.group == o.Group && e.epoch == o.Epoch && e.group != ""
	switch {
	case o.Epoch < e.seen, same && !slices.Equal(e.members, o.Members):
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	case !slices.Contains(o.Members, e.ID):
		return http.StatusConflict
	}
	joined := event{Engine: e.ID, What: whatJoined, Group: o.Group, Epoch: o.Epoch, Head: o.Members[0], OldGroup: e.group, OldEpoch: e.epoch}
	if len(e.members) > 0 {
		joined.OldHead = e.members[0]
	}
	e.record.add(joined)
	e.forget()
	e.seen, e.group, e.epoch, e.members = o.Epoch, o.Group, o.Epoch, o.Members
	e.setState("joining")
	times := e.models[o.Model]
	wait := rejoinTime
	switch {
	case e.model == o.Model:
	case e.staged == o.Model:
		wait = max(rejoinTime, e.loadTime(times.warm))
	default:
		wait = max(rejoinTime, e.loadTime(times.load))
	}
	model := o.Model
	e.later(wait, func() {
		if e.model != model {
			e.staged = model
		}
		e.model = model
		e.setState("ready")
	})
	return http.StatusAccepted
}

func (e *engine) open() int {
	switch {
	case e.members[0] != e.ID:
		return http.StatusConflict
	case e.state == "open":
		return http.StatusOK
	case e.state != "ready":
		return http.StatusConflict
	}
	e.later(formTime, func() {
		if e.state == "ready" {
			e.setState("open")
		}
	})
	return http.StatusAccepted
}

func (e *engine) close(mode string) int {
	switch {
	case e.state != "open" && e.state != "closing":
		return http.StatusOK
	case mode == "cut" || e.running == 0:
		e.setState("ready")
	default:
		e.setState("closing")
	}
	return http.StatusAccepted
}

// stage loads a model onto the host beside everything else. The caller holds mu.
func (e *engine) stage(model string) int {
	if e.staged == model {
		return http.StatusOK
	}
	wait := e.loadTime(e.models[model].load)
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.staged = model
		e.changed()
	})
	return http.StatusAccepted
}
