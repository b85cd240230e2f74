package watch

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// fetchTimeout limits a call for the full list of a peer.
const fetchTimeout = 2 * time.Second

// Sharer exchanges observations with the other daemons of the data centre. It
// publishes changes at once, and in each round a digest of the published list, by
// which a peer that missed a change detects it and fetches the full list.
type Sharer struct {
	mesh       Mesh
	table      *Table
	assignment *Assignment
	poller     *Poller

	mu        sync.Mutex
	published pollList
	remotes   map[fleet.DaemonID]*remoteList
}

// NewSharer returns a sharer that connects the table and the poller with the
// peers. It registers the handlers on mesh.
func NewSharer(mesh Mesh, table *Table, assignment *Assignment, poller *Poller) *Sharer {
	s := &Sharer{
		mesh:       mesh,
		table:      table,
		assignment: assignment,
		poller:     poller,
		published:  newPollList(nil),
		remotes:    map[fleet.DaemonID]*remoteList{},
	}
	poller.onChange = s.publishChange
	poller.onRound = s.publishDigest
	mesh.Subscribe(peer.TopicReports, s.receiveReports)
	mesh.Subscribe(peer.TopicReportDigests, s.receiveAlive)
	mesh.Subscribe(peer.TopicFailedMembers, s.receiveHint)
	mesh.HandleCall(peer.MethodReports, s.serveReports)
	return s
}

// RequestFailed starts a poll of a VM on which a request failed, and requests one
// from its watchers.
func (s *Sharer) RequestFailed(id fleet.VMID) {
	if vm, ok := s.assignment.listed()[id]; ok {
		s.poller.Hint(vm)
	}
	s.mesh.Publish(peer.TopicFailedMembers, peer.ScopeDataCentre, hintMessage{VM: id})
}

// publishChange publishes the change since the last one, if any.
func (s *Sharer) publishChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publishChangeLocked()
}

// publishChangeLocked publishes the change since the last one, if any, and returns
// the published list. The caller holds mu.
func (s *Sharer) publishChangeLocked() pollList {
	list := newPollList(s.table.own(s.assignment.Published()))
	if list.digest != s.published.digest {
		change := list.changeFrom(s.published, s.mesh.TimestampAt(time.Now()), s.mesh.TimestampAt)
		s.published = list
		s.mesh.Publish(peer.TopicReports, peer.ScopeDataCentre, change)
	}
	return list
}

// publishDigest publishes any change and then the digest of the list. It also
// prunes the table and the lists of unreachable peers.
func (s *Sharer) publishDigest(round time.Time) {
	now := time.Now()
	s.table.Prune(now, s.isListed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropUnreachable()
	list := s.publishChangeLocked()
	if len(list.items) == 0 {
		return
	}
	s.mesh.Publish(peer.TopicReportDigests, peer.ScopeDataCentre, list.digestMessage(round, s.mesh.TimestampAt(now), s.mesh.TimestampAt))
}

func (s *Sharer) isListed(id fleet.VMID) bool {
	_, ok := s.assignment.listed()[id]
	return ok
}

// dropUnreachable drops the lists of peers that are not reachable. The caller
// holds mu.
func (s *Sharer) dropUnreachable() {
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
	var change changeMessage
	if cbor.Unmarshal(body, &change) == nil {
		s.applyChange(from, change)
	}
}

// applyChange stores a change of a peer. While the offset of the peer's clock is
// unknown, the change is dropped; the next digest reveals it.
func (s *Sharer) applyChange(from fleet.DaemonID, change changeMessage) {
	at, ok := s.remoteClock(from, change.Stamp)
	if !ok {
		return
	}
	s.mu.Lock()
	updated, removed := s.remoteList(from).apply(change, at)
	s.mu.Unlock()
	s.recordItems(from, updated, time.Now())
	for _, vm := range removed {
		s.table.Forget(from, vm)
	}
	s.pollFailing(updated)
}

// remoteClock returns a function that converts timestamps of another daemon to lower
// bounds in local time. It returns false while the clock's offset is unknown.
func (s *Sharer) remoteClock(from fleet.DaemonID, timestamp peer.Timestamp) (func(peer.Timestamp) time.Time, bool) {
	at, ok := s.mesh.EarliestTime(from, timestamp)
	return func(other peer.Timestamp) time.Time {
		return at.Add(time.Duration(other-timestamp) * time.Millisecond)
	}, ok
}

// remoteList returns the list of a peer, a new one if there is none. The caller
// holds mu.
func (s *Sharer) remoteList(from fleet.DaemonID) *remoteList {
	list, ok := s.remotes[from]
	if !ok {
		list = &remoteList{}
		s.remotes[from] = list
	}
	return list
}

func (s *Sharer) recordItems(from fleet.DaemonID, items []listItem, now time.Time) {
	for _, item := range items {
		s.table.RecordSuccess(from, item.state.lastSuccess, now)
		if item.state.failing() {
			s.table.RecordFailure(from, item.vm, item.state.failedAt, now)
		}
	}
}

// pollFailing polls the VMs that another watcher failed to poll, so that the watchers
// agree soon, or are known to disagree, and those that no watcher reaches.
func (s *Sharer) pollFailing(items []listItem) {
	now := time.Now()
	for _, item := range items {
		if !item.state.failing() {
			continue
		}
		vm, ok := s.assignment.AssignedVM(item.vm)
		if !ok {
			vm, ok = s.assignment.SecondOpinion(item.vm, now)
		}
		if ok {
			s.poller.Hint(vm)
		}
	}
}

func (s *Sharer) receiveAlive(from fleet.DaemonID, body cbor.RawMessage) {
	var message digestMessage
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	at, ok := s.remoteClock(from, message.Stamp)
	if !ok {
		return
	}
	s.mu.Lock()
	list := s.remoteList(from)
	same := list.refresh(message, at)
	if same {
		s.recordItems(from, list.items, time.Now())
	}
	ask := !same && !list.fetching
	list.fetching = list.fetching || ask
	s.mu.Unlock()
	if ask {
		go s.fetchList(from)
	}
}

// fetchList fetches the full list of a peer.
func (s *Sharer) fetchList(from fleet.DaemonID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var fullList changeMessage
	err := s.mesh.Call(ctx, from, peer.MethodReports, nil, &fullList)
	s.mu.Lock()
	s.remoteList(from).fetching = false
	s.mu.Unlock()
	if err == nil {
		s.applyChange(from, fullList)
	}
}

func (s *Sharer) serveReports(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := newPollList(s.table.own(s.assignment.Published()))
	if list.digest != s.published.digest {
		list = s.published
	}
	return list.changeFrom(pollList{}, s.mesh.TimestampAt(time.Now()), s.mesh.TimestampAt), nil
}

func (s *Sharer) receiveHint(_ fleet.DaemonID, body cbor.RawMessage) {
	var message hintMessage
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	if vm, ok := s.assignment.AssignedVM(message.VM); ok {
		s.poller.Hint(vm)
	}
}
