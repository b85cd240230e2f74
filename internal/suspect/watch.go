package suspect

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	// settleTime lets a rival claim of another daemon arrive.
	settleTime = 30 * time.Millisecond
	pollTime   = 20 * time.Millisecond
)

// Watch shares suspects and claims with the other daemons.
type Watch struct {
	Table      *Table
	slots      *Slots
	waiters    *waiters
	mesh       peer.Mesh
	dataCentre fleet.DataCentre
	onCrash    atomic.Pointer[func(fingerprint uint64)]
}

// NewWatch returns a watch and subscribes it to the mesh.
func NewWatch(mesh peer.Mesh, dataCentre fleet.DataCentre) *Watch {
	w := &Watch{Table: NewTable(), slots: NewSlots(mesh.Self()), waiters: newWaiters(), mesh: mesh, dataCentre: dataCentre}
	mesh.Subscribe(peer.TopicSuspects, w.learn)
	return w
}

// OnCrash sets what is told of each request that becomes a suspect or crashes again. It must not
// block.
func (w *Watch) OnCrash(told func(fingerprint uint64)) { w.onCrash.Store(&told) }

func (w *Watch) hold(crash Crash, now time.Time) {
	w.Table.Add(crash, now)
	if told := w.onCrash.Load(); told != nil {
		(*told)(crash.Fingerprint)
	}
}

// Standing returns how a request is to be treated now.
func (w *Watch) Standing(fingerprint uint64) Standing {
	return w.Table.Standing(fingerprint, time.Now())
}

// Crashed holds the death of a group against a request and tells the others.
func (w *Watch) Crashed(fingerprint uint64, group fleet.FencingNumber, alone bool) {
	now := time.Now()
	crash := Crash{Fingerprint: fingerprint, DataCentre: w.dataCentre, Group: group, Alone: alone, At: now}
	w.hold(crash, now)
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Crash: &crash})
}

// Acquit forgets a suspect that ran alone to its end, here and elsewhere.
func (w *Watch) Acquit(fingerprint uint64) {
	now := time.Now()
	w.Table.Acquit(fingerprint, now)
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Acquittal: &Acquittal{Fingerprint: fingerprint, At: now}})
}

// BeginWait lets a request wait to run alone, unless too many do. On success the
// caller calls EndWait once.
func (w *Watch) BeginWait(fingerprint uint64) bool { return w.waiters.begin(fingerprint) }

// EndWait ends a wait to run alone.
func (w *Watch) EndWait(fingerprint uint64) { w.waiters.end(fingerprint) }

// Isolate waits until one of the candidate groups is free of suspects and
// claims it. The caller calls release once. It returns false when ctx ends, or
// when the request is no longer merely isolated.
func (w *Watch) Isolate(ctx context.Context, fingerprint uint64, candidates func() []fleet.FencingNumber) (group fleet.FencingNumber, release func(), ok bool) {
	until := time.Now().Add(Life)
	if deadline, limited := ctx.Deadline(); limited {
		until = deadline
	}
	for w.Standing(fingerprint) == Isolated {
		groups := candidates()
		if len(groups) == 0 {
			return fleet.NoGroup, nil, false
		}
		for _, candidate := range groups {
			if claim, taken := w.claim(ctx, candidate, fingerprint, until); taken {
				return candidate, func() { w.release(claim) }, true
			}
		}
		if !wait.For(ctx, pollTime) {
			break
		}
	}
	return fleet.NoGroup, nil, false
}

func (w *Watch) claim(ctx context.Context, group fleet.FencingNumber, fingerprint uint64, until time.Time) (Claim, bool) {
	claim, taken := w.slots.Take(group, fingerprint, time.Now(), until)
	if !taken || len(w.mesh.Live()) < 2 {
		return claim, taken
	}
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeDataCentre, Message{Claim: &claim})
	if !wait.For(ctx, settleTime) {
		w.release(claim)
		return Claim{}, false
	}
	return claim, w.slots.Holds(claim)
}

func (w *Watch) release(claim Claim) {
	w.slots.Release(claim)
	claim.Until = time.Time{}
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeDataCentre, Message{Claim: &claim})
}

func (w *Watch) learn(_ fleet.DaemonID, body cbor.RawMessage) {
	var message Message
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	now := time.Now()
	switch {
	case message.Crash != nil:
		w.hold(*message.Crash, now)
	case message.Claim != nil:
		w.slots.Learn(*message.Claim, now)
	case message.Acquittal != nil:
		w.Table.Acquit(message.Acquittal.Fingerprint, now)
	}
}
