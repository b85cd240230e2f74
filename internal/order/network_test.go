package order_test

import (
	"context"
	"slices"
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// network connects the daemons of a spec.
type network struct {
	mu      sync.Mutex
	daemons map[fleet.DaemonID]*daemon
}

func (h *network) live() []fleet.DaemonID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var live []fleet.DaemonID
	for id, d := range h.daemons {
		if !d.isDead() && !d.hidden.Load() {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// networkMesh is the mesh of one daemon in the network.
type networkMesh struct {
	*peer.Solo
	network *network
	daemon  *daemon
	handler peer.CallHandler
}

func (m *networkMesh) Live() []fleet.DaemonID {
	if m.daemon.isolated.Load() {
		return []fleet.DaemonID{m.Self()}
	}
	return m.network.live()
}

func (m *networkMesh) WithLog() []fleet.DaemonID { return m.Live() }

func (m *networkMesh) HandleCall(_ peer.Method, handler peer.CallHandler) { m.handler = handler }

func (m *networkMesh) Call(ctx context.Context, to fleet.DaemonID, _ peer.Method, body, reply any) error {
	m.network.mu.Lock()
	target, ok := m.network.daemons[to]
	m.network.mu.Unlock()
	if !ok || target.isDead() || m.daemon.isDead() {
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
