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

// Tracker shares suspects and claims with the other daemons.
type Tracker struct {
	Table      *Table
	claims     *Claims
	waiters    *waiters
	mesh       peer.Mesh
	dataCentre fleet.DataCentre
	onCrash    atomic.Pointer[func(fingerprint uint64)]
}

// NewTracker returns a tracker that is subscribed to the mesh.
func NewTracker(mesh peer.Mesh, dataCentre fleet.DataCentre) *Tracker {
	t := &Tracker{Table: NewTable(), claims: NewClaims(mesh.Self()), waiters: newWaiters(), mesh: mesh, dataCentre: dataCentre}
	mesh.Subscribe(peer.TopicSuspects, t.receive)
	return t
}

// OnCrash sets the callback for each request that becomes a suspect or crashes a group
// again. The callback must not block.
func (t *Tracker) OnCrash(callback func(fingerprint uint64)) { t.onCrash.Store(&callback) }

func (t *Tracker) record(crash Crash, now time.Time) {
	t.Table.Add(crash, now)
	if callback := t.onCrash.Load(); callback != nil {
		(*callback)(crash.Fingerprint)
	}
}

// Standing returns the treatment of a request at the current time.
func (t *Tracker) Standing(fingerprint uint64) Standing {
	return t.Table.Standing(fingerprint, time.Now())
}

// RecordCrash records the crash of a group for a request and publishes it to the other
// daemons.
func (t *Tracker) RecordCrash(fingerprint uint64, group fleet.FencingNumber, alone bool) {
	now := time.Now()
	crash := Crash{Fingerprint: fingerprint, DataCentre: t.dataCentre, Group: group, Alone: alone, At: now}
	t.record(crash, now)
	t.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Crash: &crash})
}

// Acquit removes a suspect that completed while it ran alone, at all daemons.
func (t *Tracker) Acquit(fingerprint uint64) {
	now := time.Now()
	t.Table.Acquit(fingerprint, now)
	t.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Acquittal: &Acquittal{Fingerprint: fingerprint, At: now}})
}

// BeginWait registers a request that waits to run isolated. It returns false if too
// many requests wait already. On success the caller must call EndWait once.
func (t *Tracker) BeginWait(fingerprint uint64) bool { return t.waiters.begin(fingerprint) }

// EndWait ends the wait that BeginWait registered.
func (t *Tracker) EndWait(fingerprint uint64) { t.waiters.end(fingerprint) }

// Isolate waits until one of the candidate groups runs no suspect, and claims it. On
// success the caller must call release once. It returns false when ctx ends, when there
// is no candidate, or when the standing of the request is no longer Isolated.
func (t *Tracker) Isolate(ctx context.Context, fingerprint uint64, candidates func() []fleet.FencingNumber) (group fleet.FencingNumber, release func(), ok bool) {
	until := time.Now().Add(CrashTTL)
	if deadline, limited := ctx.Deadline(); limited {
		until = deadline
	}
	for t.Standing(fingerprint) == Isolated {
		groups := candidates()
		if len(groups) == 0 {
			return fleet.NoGroup, nil, false
		}
		for _, candidate := range groups {
			if claim, taken := t.claim(ctx, candidate, fingerprint, until); taken {
				return candidate, func() { t.release(claim) }, true
			}
		}
		if !wait.For(ctx, claimPollInterval) {
			break
		}
	}
	return fleet.NoGroup, nil, false
}

func (t *Tracker) claim(ctx context.Context, group fleet.FencingNumber, fingerprint uint64, until time.Time) (Claim, bool) {
	claim, taken := t.claims.Take(group, fingerprint, time.Now(), until)
	if !taken || len(t.mesh.Live()) < 2 {
		return claim, taken
	}
	t.mesh.Publish(peer.TopicSuspects, peer.ScopeDataCentre, Message{Claim: &claim})
	if !wait.For(ctx, claimSettleTime) {
		t.release(claim)
		return Claim{}, false
	}
	return claim, t.claims.Holds(claim)
}

func (t *Tracker) release(claim Claim) {
	t.claims.Release(claim)
	claim.Until = time.Time{}
	t.mesh.Publish(peer.TopicSuspects, peer.ScopeDataCentre, Message{Claim: &claim})
}

func (t *Tracker) receive(_ fleet.DaemonID, body cbor.RawMessage) {
	var message Message
	if cbor.Unmarshal(body, &message) != nil {
		return
	}
	now := time.Now()
	switch {
	case message.Crash != nil:
		t.record(*message.Crash, now)
	case message.Claim != nil:
		t.claims.Apply(*message.Claim, now)
	case message.Acquittal != nil:
		t.Table.Acquit(message.Acquittal.Fingerprint, now)
	}
}
