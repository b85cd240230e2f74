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
	// claimSettleTime is the time for conflicting claims of other daemons to arrive.
	claimSettleTime   = 30 * time.Millisecond
	claimPollInterval = 20 * time.Millisecond
)

// Watch shares suspects and claims with the other daemons.
type Watch struct {
	Table      *Table
	claims     *Claims
	waiters    *waiters
	mesh       peer.Mesh
	dataCentre fleet.DataCentre
	onCrash    atomic.Pointer[func(fingerprint uint64)]
}

// NewWatch returns a watch that is subscribed to the mesh.
func NewWatch(mesh peer.Mesh, dataCentre fleet.DataCentre) *Watch {
	w := &Watch{Table: NewTable(), claims: NewClaims(mesh.Self()), waiters: newWaiters(), mesh: mesh, dataCentre: dataCentre}
	mesh.Subscribe(peer.TopicSuspects, w.receive)
	return w
}

// OnCrash sets the callback for each request that becomes a suspect or crashes a group
// again. The callback must not block.
func (w *Watch) OnCrash(callback func(fingerprint uint64)) { w.onCrash.Store(&callback) }

func (w *Watch) record(crash Crash, now time.Time) {
	w.Table.Add(crash, now)
	if callback := w.onCrash.Load(); callback != nil {
		(*callback)(crash.Fingerprint)
	}
}

// Standing returns the treatment of a request at the current time.
func (w *Watch) Standing(fingerprint uint64) Standing {
	return w.Table.Standing(fingerprint, time.Now())
}

// Crashed records the crash of a group for a request and publishes it to the other
// daemons.
func (w *Watch) Crashed(fingerprint uint64, group fleet.FencingNumber, alone bool) {
	now := time.Now()
	crash := Crash{Fingerprint: fingerprint, DataCentre: w.dataCentre, Group: group, Alone: alone, At: now}
	w.record(crash, now)
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Crash: &crash})
}

// Acquit removes a suspect that completed while it ran alone, at all daemons.
func (w *Watch) Acquit(fingerprint uint64) {
	now := time.Now()
	w.Table.Acquit(fingerprint, now)
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Acquittal: &Acquittal{Fingerprint: fingerprint, At: now}})
}

// BeginWait registers a request that waits to run isolated. It returns false if too
// many requests wait already. On success the caller must call EndWait once.
func (w *Watch) BeginWait(fingerprint uint64) bool { return w.waiters.begin(fingerprint) }

// EndWait ends the wait that BeginWait registered.
func (w *Watch) EndWait(fingerprint uint64) { w.waiters.end(fingerprint) }

// Isolate waits until one of the candidate groups runs no suspect, and claims it. On
// success the caller must call release once. It returns false when ctx ends, when there
// is no candidate, or when the standing of the request is no longer Isolated.
func (w *Watch) Isolate(ctx context.Context, fingerprint uint64, candidates func() []fleet.FencingNumber) (group fleet.FencingNumber, release func(), ok bool) {
	until := time.Now().Add(CrashTTL)
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
		if !wait.For(ctx, claimPollInterval) {
			break
		}
	}
	return fleet.NoGroup, nil, false
}

func (w *Watch) claim(ctx context.Context, group fleet.FencingNumber, fingerprint uint64, until time.Time) (Claim, bool) {
	claim, taken := w.claims.Take(group, fingerprint, time.Now(), until)
	if !taken || len(w.mesh.Live()) < 2 {
		return claim, taken
	}
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeDataCentre, Message{Claim: &claim})
	if !wait.For(ctx, claimSettleTime) {
		w.release(claim)
		return Claim{}, false
	}
	return claim, w.claims.Holds(claim)
}

func (w *Watch) release(claim Claim) {
	w.claims.Release(claim)
	claim.Until = time.Time{}
	w.mesh.Publish(peer.TopicSuspects, peer.ScopeDataCentre, Message{Claim: &claim})
}

func (w *Watch) receive(_ fleet.DaemonID, body cbor.RawMessage) {
	var message Message
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	now := time.Now()
	switch {
	case message.Crash != nil:
		w.record(*message.Crash, now)
	case message.Claim != nil:
		w.claims.Apply(*message.Claim, now)
	case message.Acquittal != nil:
		w.Table.Acquit(message.Acquittal.Fingerprint, now)
	}
}
