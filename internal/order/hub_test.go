package order_test

import (
	"context"
	"slices"
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// hub joins the nodes of a spec.
type hub struct {
	mu    sync.Mutex
	nodes map[fleet.DaemonID]*node
}

func (h *hub) live() []fleet.DaemonID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var live []fleet.DaemonID
	for id, n := range h.nodes {
		if !n.isDead() && !n.hidden.Load() {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// hubMesh is one node's part of the hub.
type hubMesh struct {
	*peer.Solo
	hub     *hub
	node    *node
	handler peer.CallHandler
}

func (m *hubMesh) Live() []fleet.DaemonID {
	if m.node.alone.Load() {
		return []fleet.DaemonID{m.Self()}
	}
	return m.hub.live()
}

func (m *hubMesh) WithLog() []fleet.DaemonID { return m.Live() }

func (m *hubMesh) HandleCall(_ peer.Method, handler peer.CallHandler) { m.handler = handler }

func (m *hubMesh) Call(ctx context.Context, to fleet.DaemonID, _ peer.Method, body, reply any) error {
	m.hub.mu.Lock()
	target, ok := m.hub.nodes[to]
	m.hub.mu.Unlock()
	if !ok || target.isDead() || m.node.isDead() {
		return &peer.UnreachableError{Daemon: to}
	}
	encoded, err := logstream.Marshal(body)
	if err != nil {
		return err
	}
	answers := make(chan any, 1)
	go func() {
		if answer, err := target.mesh.handler(context.WithoutCancel(ctx), m.Self(), encoded); err == nil {
			answers <- answer
		}
	}()
	select {
	case <-ctx.Done():
	case <-target.ctx.Done():
	case answer := <-answers:
		if target.losesAnswers.Load() || target.isDead() {
			break
		}
		data, err := logstream.Marshal(answer)
		if err != nil {
			return err
		}
		return logstream.Unmarshal(data, reply)
	}
	return &peer.BrokenError{Daemon: to, Err: context.Canceled}
}
