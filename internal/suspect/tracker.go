package suspect

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
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
	onCrash    atomic.Pointer[func(trait Trait)]
}

// NewTracker returns a tracker that is subscribed to the mesh.
func NewTracker(mesh peer.Mesh, dataCentre fleet.DataCentre) *Tracker {
	t := &Tracker{Table: NewTable(Policy{Isolates: true}), claims: NewClaims(mesh.Self()), waiters: newWaiters(), mesh: mesh, dataCentre: dataCentre}
	mesh.Subscribe(peer.TopicSuspects, t.receive)
	return t
}

// OnCrash sets the callback for the traits of each crash whose requests are isolated or refused
// from now on. The callback must not block.
func (t *Tracker) OnCrash(callback func(trait Trait)) { t.onCrash.Store(&callback) }

func (t *Tracker) record(crash Crash, now time.Time) {
	t.Table.Add(crash, now)
	callback := t.onCrash.Load()
	if callback == nil {
		return
	}
	for _, trait := range crash.Traits() {
		if t.Table.standingOf(trait, now) != Clear {
			(*callback)(trait)
		}
	}
}

// Standing returns the treatment of a request at the current time.
func (t *Tracker) Standing(s Subject) Standing {
	now := time.Now()
	standing := t.Table.Standing(s, now)
	if standing == Refused {
		t.Table.Extend(s, now)
	}
	return standing
}

// TrialDue reports whether TakeTrial would let a request through.
func (t *Tracker) TrialDue(s Subject) bool {
	_, due := t.Table.trialDue(s, time.Now(), t.ownsTrial)
	return due
}

// TakeTrial reports whether a request that is refused for one part of its prompt may run as a
// trial of it.
func (t *Tracker) TakeTrial(s Subject) bool { return t.Table.TakeTrial(s, time.Now(), t.ownsTrial) }

// ownsTrial reports whether this daemon owns the trials of a part in its data centre.
func (t *Tracker) ownsTrial(trait Trait) bool {
	return rendezvous.Chosen(trait.String(), t.mesh.Live(), 1, t.mesh.Self())
}

// RecordCrash records the crash of a group for a request and publishes it to the other
// daemons.
func (t *Tracker) RecordCrash(s Subject, group fleet.FencingNumber, alone bool) {
	now := time.Now()
	crash := Crash{Subject: s, DataCentre: t.dataCentre, Group: group, Alone: alone, At: now}
	t.record(crash, now)
	t.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Crash: &crash})
}

// Clear clears the crashes of the traits of a request that was answered, at all daemons. The
// subject has a fingerprint only if the request ran alone on its group.
func (t *Tracker) Clear(s Subject) {
	now := time.Now()
	if t.Table.Clear(s, now) {
		t.mesh.Publish(peer.TopicSuspects, peer.ScopeFleet, Message{Acquittal: &Acquittal{Subject: s, At: now}})
	}
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
	for t.Standing(Subject{Fingerprint: fingerprint}) == Isolated {
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
		t.Table.Clear(message.Acquittal.Subject, now)
	}
}
