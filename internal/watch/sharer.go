package watch

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// askTimeout limits a call for the whole list of a peer.
const askTimeout = 2 * time.Second

// Sharer exchanges observations with the other daemons of the data centre. A
// change is told at once; each round repeats a digest of what was told, so that
// a peer that missed a change asks for the whole list.
type Sharer struct {
	mesh   Mesh
	table  *Table
	duty   *Duty
	poller *Poller

	mu      sync.Mutex
	told    ownList
	remotes map[fleet.DaemonID]*remoteList
}

// NewSharer connects a table, its duty and its poller with the peers.
func NewSharer(mesh Mesh, table *Table, duty *Duty, poller *Poller) *Sharer {
	s := &Sharer{
		mesh:    mesh,
		table:   table,
		duty:    duty,
		poller:  poller,
		told:    newOwnList(nil),
		remotes: map[fleet.DaemonID]*remoteList{},
	}
	poller.changed = s.tellChange
	poller.round = s.tellAlive
	mesh.Subscribe(peer.TopicReports, s.receiveReports)
	mesh.Subscribe(peer.TopicAlive, s.receiveAlive)
	mesh.Subscribe(peer.TopicHints, s.receiveHint)
	mesh.HandleCall(peer.MethodReports, s.answerReports)
	return s
}

// RequestFailed polls a VM on which a request failed and asks its watchers to
// do so too.
func (s *Sharer) RequestFailed(id fleet.VMID) {
	if vm, ok := s.duty.known()[id]; ok {
		s.poller.Hint(vm)
	}
	s.mesh.Publish(peer.TopicHints, peer.ScopeDataCentre, hint{VM: id})
}

// tellChange tells the peers what has changed, if anything has.
func (s *Sharer) tellChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellChanged()
}

// tellChanged does so and returns the list that the peers know then. The caller
// holds mu.
func (s *Sharer) tellChanged() ownList {
	list := newOwnList(s.table.own(s.duty.Watched()))
	if list.digest != s.told.digest {
		change := list.changeFrom(s.told, s.mesh.StampAt(time.Now()), s.mesh.StampAt)
		s.told = list
		s.mesh.Publish(peer.TopicReports, peer.ScopeDataCentre, change)
	}
	return list
}

// tellAlive repeats that nothing has changed since the last change told.
func (s *Sharer) tellAlive(round time.Time) {
	now := time.Now()
	s.table.Prune(now, s.isKnown)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetGone()
	list := s.tellChanged()
	if len(list.items) == 0 {
		return
	}
	s.mesh.Publish(peer.TopicAlive, peer.ScopeDataCentre, list.alive(round, s.mesh.StampAt(now), s.mesh.StampAt))
}

func (s *Sharer) isKnown(id fleet.VMID) bool {
	_, ok := s.duty.known()[id]
	return ok
}

// forgetGone drops the lists of peers that cannot be reached. The caller holds
// mu.
func (s *Sharer) forgetGone() {
	live := map[fleet.DaemonID]bool{}
	for _, daemon := range s.mesh.Live() {
		live[daemon] = true
	}
	for daemon := range s.remotes {
		if !live[daemon] {
			delete(s.remotes, daemon)
		}
	}
}

func (s *Sharer) receiveReports(from fleet.DaemonID, body cbor.RawMessage) {
	var change reports
	if cbor.Unmarshal(body, &change) == nil {
		s.take(from, change)
	}
}

// take notes what a peer's change says. A change whose time cannot be told is
// left to the next digest.
func (s *Sharer) take(from fleet.DaemonID, change reports) {
	at, ok := s.clockOf(from, change.Stamp)
	if !ok {
		return
	}
	s.mu.Lock()
	noted, removed := s.remote(from).apply(change, at)
	s.mu.Unlock()
	s.note(from, noted, time.Now())
	for _, vm := range removed {
		s.table.Forget(from, vm)
	}
	s.checkDoubted(noted)
}

// clockOf maps stamps of another daemon to times that are not later.
func (s *Sharer) clockOf(from fleet.DaemonID, stamp peer.Stamp) (func(peer.Stamp) time.Time, bool) {
	at, ok := s.mesh.Earliest(from, stamp)
	return func(other peer.Stamp) time.Time {
		return at.Add(time.Duration(other-stamp) * time.Millisecond)
	}, ok
}

// remote returns the list of a peer. The caller holds mu.
func (s *Sharer) remote(from fleet.DaemonID) *remoteList {
	list, ok := s.remotes[from]
	if !ok {
		list = &remoteList{}
		s.remotes[from] = list
	}
	return list
}

func (s *Sharer) note(from fleet.DaemonID, items []ownItem, now time.Time) {
	for _, item := range items {
		s.table.Saw(from, item.opinion.seen, now)
		if item.opinion.failing() {
			s.table.Missed(from, item.vm, item.opinion.failedAt, now)
		}
	}
}

// checkDoubted polls the VMs that another watcher could not reach, so that the
// watchers soon agree or are known to differ.
func (s *Sharer) checkDoubted(items []ownItem) {
	for _, item := range items {
		if !item.opinion.failing() {
			continue
		}
		if vm, ok := s.duty.Watches(item.vm); ok {
			s.poller.Hint(vm)
		}
	}
}

func (s *Sharer) receiveAlive(from fleet.DaemonID, body cbor.RawMessage) {
	var message alive
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	at, ok := s.clockOf(from, message.Stamp)
	if !ok {
		return
	}
	s.mu.Lock()
	list := s.remote(from)
	same := list.refresh(message, at)
	if same {
		s.note(from, list.items, time.Now())
	}
	ask := !same && !list.asking
	list.asking = list.asking || ask
	s.mu.Unlock()
	if ask {
		go s.ask(from)
	}
}

// ask fetches the whole list of a peer.
func (s *Sharer) ask(from fleet.DaemonID) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var whole reports
	err := s.mesh.Call(ctx, from, peer.MethodReports, nil, &whole)
	s.mu.Lock()
	s.remote(from).asking = false
	s.mu.Unlock()
	if err == nil {
		s.take(from, whole)
	}
}

func (s *Sharer) answerReports(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := newOwnList(s.table.own(s.duty.Watched()))
	if list.digest != s.told.digest {
		list = s.told
	}
	return list.changeFrom(ownList{}, s.mesh.StampAt(time.Now()), s.mesh.StampAt), nil
}

func (s *Sharer) receiveHint(_ fleet.DaemonID, body cbor.RawMessage) {
	var message hint
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	if vm, ok := s.duty.Watches(message.VM); ok {
		s.poller.Hint(vm)
	}
}
